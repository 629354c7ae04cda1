"""Tests of stoattray-standin."""
