"""Finds free loopback ports below the ephemeral port range."""

import itertools
import os
import socket
from collections.abc import Iterator
from functools import cache

HOST = "127.0.0.1"
FIRST_PORT = 15_000
N_PORTS = 17_000

N_PORTS_APART = 2_003
"""Distance between the first ports of processes with consecutive identifiers."""


def free_ports(n_ports: int) -> list[int]:
    """Return distinct ports that are free for both TCP and UDP.

    Raises
    ------
    OSError
        If fewer than `n_ports` are free.
    """
    ports: list[int] = []
    for offset in itertools.islice(_offsets(os.getpid()), N_PORTS):
        port = FIRST_PORT + offset % N_PORTS
        if _is_free(port):
            ports.append(port)
        if len(ports) == n_ports:
            return ports
    raise OSError(f"fewer than {n_ports} free ports")


@cache
def _offsets(process: int) -> Iterator[int]:
    """Return the offsets that a process tries; others start elsewhere."""
    return itertools.count(process * N_PORTS_APART % N_PORTS)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True
