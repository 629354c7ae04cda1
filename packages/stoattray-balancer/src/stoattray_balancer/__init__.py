"""The stoattray balancer process: sockets, platform and API around the core."""
