"""Tests of stoattray-operator."""
