"""Stand-ins of everything around the balancers, for tests and the demo."""
