"""Stand-ins of clients, routers, hosts and the store for the cases of the review."""
