"""Stand-ins for everything around the balancers, for tests and the demo."""
