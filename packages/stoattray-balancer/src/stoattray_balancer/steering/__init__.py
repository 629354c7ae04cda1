"""Process of a balancer with cookie placement: sockets, peers and store client."""
