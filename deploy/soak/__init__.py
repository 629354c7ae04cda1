"""Randomised soak of real balancer processes against a simulated platform."""
