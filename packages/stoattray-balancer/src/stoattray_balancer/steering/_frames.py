"""Length-prefixed frames over a TCP connection between balancers.

A frame is a 4-byte big-endian length followed by that many bytes. The timeout applies
to each chunk, not to the whole frame, since a snapshot of a large fleet takes seconds
on a slow link.
"""

import struct
from collections.abc import Iterator
from contextlib import contextmanager

from gevent import socket

from stoattray_balancer.steering._sockets import open_connection
from stoattray_core._identifiers import Address

PROGRESS_TIMEOUT_SECONDS = 0.8
"""Limit for connecting and for each chunk. Connecting takes some 10 ms; an unreachable
peer must not delay a start, which has to serve within 12 s."""

PULL_TIMEOUT_SECONDS = 8.0
"""Limit for a whole pull. Callers have to be served 12 s after the loss of all
balancers; an uncompressed snapshot of 3,000 servers takes 1.2 s at 5 Mbit/s."""

CHUNK_BYTES = 65_536
MAX_FRAME_BYTES = 16_777_216
"""Largest accepted frame; 20,000 servers and 2,200 routes are about 8 MB."""

_LENGTH = struct.Struct("!I")


@contextmanager
def connect(address: Address) -> Iterator[socket.socket]:
    """Open a connection to a peer for the block.

    Raises
    ------
    OSError
        If the peer does not accept it within the timeout.
    """
    connection = open_connection(address, PROGRESS_TIMEOUT_SECONDS)
    try:
        yield connection
    finally:
        connection.close()


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Send one frame; raises OSError if no chunk is accepted within the timeout."""
    connection.settimeout(PROGRESS_TIMEOUT_SECONDS)
    remaining = memoryview(_LENGTH.pack(len(data)) + data)
    while remaining:
        remaining = remaining[connection.send(remaining[:CHUNK_BYTES]) :]


def receive_frame_length(connection: socket.socket) -> int:
    """Return the length of the next frame in bytes.

    Raises
    ------
    OSError
        If it does not arrive within the timeout, or is above the limit.
    """
    connection.settimeout(PROGRESS_TIMEOUT_SECONDS)
    (n_bytes,) = _LENGTH.unpack(receive_exactly(connection, _LENGTH.size))
    if n_bytes > MAX_FRAME_BYTES:
        raise ConnectionAbortedError(f"frame of {n_bytes} bytes is too large")
    return n_bytes


def receive_exactly(connection: socket.socket, n_bytes: int) -> bytes:
    """Return `n_bytes` bytes; raises OSError if a chunk exceeds the timeout."""
    chunks = []
    while n_bytes:
        chunk = connection.recv(min(n_bytes, CHUNK_BYTES))
        if not chunk:
            raise ConnectionResetError("connection closed in the middle of a frame")
        chunks.append(chunk)
        n_bytes -= len(chunk)
    return b"".join(chunks)
