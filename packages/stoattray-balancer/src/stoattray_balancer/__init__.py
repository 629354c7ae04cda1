"""The stoattray balancer process: sockets, store client and API around the core."""
