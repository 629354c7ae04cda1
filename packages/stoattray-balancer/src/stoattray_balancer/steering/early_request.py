"""First request to the store, sent before the rest of the program is imported.

Imports take longer than the answer, which then waits in the connection's buffer.

Uses the extension module `_socket`, since importing `socket` takes longer than the
start of the interpreter.
"""

import _socket
import time
from typing import NamedTuple

CONNECT_TIMEOUT_SECONDS = 0.02
"""Limit for connecting, and for sending. The store accepts in a few milliseconds; a
start that does not reach it must not wait for long."""


class EarlyRequest(NamedTuple):
    """Request that was sent, and whose answer is still to be read.

    Parameters
    ----------
    descriptor : int
        Descriptor of its connection.
    sent_at : int
        When it was sent, in milliseconds since boot, including time the VM was
        suspended.
    """

    descriptor: int
    sent_at: int


def send_early(address: str, path: str) -> EarlyRequest | None:
    """Send a GET request for a path to ``host:port``.

    Returns
    -------
    EarlyRequest or None
        None if the address is invalid or the connection is not accepted in time.
    """
    host, _, port = address.rpartition(":")
    connection = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    try:
        connection.settimeout(CONNECT_TIMEOUT_SECONDS)
        connection.connect((host, int(port)))
        sent_at = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
    except (OSError, ValueError, OverflowError):
        connection.close()
        return None
    connection.setblocking(False)
    return EarlyRequest(connection.detach(), sent_at)
