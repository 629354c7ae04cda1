"""Frames over a connection between balancers, bounded by progress.

A frame is its length in four bytes, and then so many bytes. The limit runs from one
piece to the next, since a whole copy of a large fleet takes seconds on a thin link.
"""

import struct
from collections.abc import Iterator
from contextlib import contextmanager

from gevent import socket

from stoattray_core._identifiers import Address

PROGRESS_TIMEOUT_SECONDS = 0.8
"""Longest wait for a peer's next bytes. Connecting takes some 10 ms; a peer that is cut
off must not hold up a start, which has to serve within 12 s."""

CHUNK_BYTES = 65_536
MAX_FRAME_BYTES = 16_777_216
"""Largest frame taken; 20,000 servers and 2,200 routes are about 8 MB."""

_LENGTH = struct.Struct("!I")


@contextmanager
def connect(address: Address) -> Iterator[socket.socket]:
    """Connect to a peer; raises OSError if it does not answer."""
    connection = socket.create_connection(address, timeout=PROGRESS_TIMEOUT_SECONDS)
    try:
        yield connection
    finally:
        connection.close()


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Send one frame; raises OSError when the peer takes nothing for too long."""
    connection.settimeout(PROGRESS_TIMEOUT_SECONDS)
    remaining = memoryview(_LENGTH.pack(len(data)) + data)
    while remaining:
        remaining = remaining[connection.send(remaining[:CHUNK_BYTES]) :]


def receive_frame_length(connection: socket.socket) -> int:
    """Return the number of bytes of the frame that begins; raises OSError."""
    connection.settimeout(PROGRESS_TIMEOUT_SECONDS)
    (n_bytes,) = _LENGTH.unpack(receive_exactly(connection, _LENGTH.size))
    if n_bytes > MAX_FRAME_BYTES:
        raise ConnectionAbortedError(f"frame of {n_bytes} bytes")
    return n_bytes


def receive_exactly(connection: socket.socket, n_bytes: int) -> bytes:
    """Return so many bytes; raises OSError when none come for too long."""
    chunks = []
    while n_bytes:
        chunk = connection.recv(min(n_bytes, CHUNK_BYTES))
        if not chunk:
            raise ConnectionResetError("closed in the middle of a frame")
        chunks.append(chunk)
        n_bytes -= len(chunk)
    return b"".join(chunks)
