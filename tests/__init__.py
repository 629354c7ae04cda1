"""Tests of all packages; folders mirror ``packages``."""
