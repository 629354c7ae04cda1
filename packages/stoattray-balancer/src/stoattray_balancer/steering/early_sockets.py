"""Sockets that are bound before the rest of the program is imported.

Imports take some 0.3 s on a small VM. The kernel queues packets and readiness checks
that arrive during that time; otherwise they would be lost, and routers would repeat
a check only half a second later.

Uses the extension module `_socket`, since importing `socket` takes longer than the
start of the interpreter.
"""

import _socket

RECEIVE_BUFFER_BYTES = 1_048_576
"""Holds about a second of opening packets; queued bytes count as memory of the VM."""

BACKLOG = 16
"""Readiness checks that may queue; routers check twice a second."""


def bind_udp(address: str) -> int:
    """Return the descriptor of a UDP socket bound to ``host:port``.

    Raises
    ------
    OSError, ValueError
        If the address can't be parsed or bound.
    """
    udp_socket = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    udp_socket.setsockopt(_socket.SOL_SOCKET, _socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    udp_socket.setblocking(False)
    udp_socket.bind(_parse_address(address))
    return udp_socket.detach()


def listen_tcp(address: str) -> int:
    """Return the descriptor of a TCP socket that listens at ``host:port``.

    Raises
    ------
    OSError, ValueError
        If the address can't be parsed or bound.
    """
    listener = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    listener.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(_parse_address(address))
    listener.listen(BACKLOG)
    return listener.detach()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
