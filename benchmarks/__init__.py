"""Benchmarks: each prints lines of `name value unit`."""
