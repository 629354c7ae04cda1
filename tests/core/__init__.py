"""Tests of stoattray-core."""
