"""Finds free loopback ports below the ephemeral port range."""

import itertools
import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 15_000
N_PORTS = 17_000

# Processes that run at the same time start at different offsets.
_offsets = itertools.count(os.getpid() * 131 % N_PORTS)


def free_ports(n_ports: int) -> list[int]:
    """Return distinct ports that are free for both TCP and UDP.

    Raises
    ------
    OSError
        If fewer than `n_ports` are free.
    """
    ports: list[int] = []
    for offset in itertools.islice(_offsets, N_PORTS):
        port = FIRST_PORT + offset % N_PORTS
        if _is_free(port):
            ports.append(port)
        if len(ports) == n_ports:
            return ports
    raise OSError(f"fewer than {n_ports} free ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True
