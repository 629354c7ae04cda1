"""Tests of the decisions of cookie placement."""
