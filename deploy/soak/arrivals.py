"""Time at which the kernel received a datagram.

The harness is one process; when it is busy it reads datagrams late and in groups. A
limit for a sliding second needs the times at which they arrived.
"""

import socket as sockets
import struct
import time

from gevent import socket

SO_TIMESTAMPNS = 35
"""Number of the Linux socket option, which Python's socket module does not name."""

_TIMESPEC = struct.Struct("@qq")


def enable_timestamps(receiver: socket.socket) -> None:
    """Let the kernel attach the time of arrival to each datagram."""
    receiver.setsockopt(sockets.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive(receiver: socket.socket, max_bytes: int) -> tuple[bytes, float]:
    """Return the next datagram and the seconds since it arrived."""
    data, ancillary, _, _ = receiver.recvmsg(
        max_bytes, sockets.CMSG_SPACE(_TIMESPEC.size)
    )
    for level, kind, value in ancillary:
        if level == sockets.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, nanoseconds = _TIMESPEC.unpack(value)
            return data, max(0.0, time.time() - seconds - nanoseconds / 1e9)
    return data, 0.0
