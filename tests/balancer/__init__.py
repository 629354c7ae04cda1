"""Tests of stoattray-balancer."""
