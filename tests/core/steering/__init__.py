"""Tests of cookie placement."""
