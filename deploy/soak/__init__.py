"""Randomised soak of real balancer processes against stand-ins of the platform."""
