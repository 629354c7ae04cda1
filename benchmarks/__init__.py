"""Benchmarks; most of them print lines of ``name value unit``."""
