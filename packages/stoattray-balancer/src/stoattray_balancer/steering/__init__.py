"""Process of a balancer with cookie placement: sockets, peers and the store."""
