"""Tests of the process of cookie placement."""
