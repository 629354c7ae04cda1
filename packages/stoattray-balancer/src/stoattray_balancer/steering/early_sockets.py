"""Sockets that are bound before the rest of the program is loaded.

Loading takes some 0.3 s on a small VM. Packets and readiness checks that come
meanwhile wait in the sockets; without this they would be lost, and routers would
ask again only half a second later.

The extension module behind `socket` is used, since `socket` itself takes longer to
load than the interpreter takes to start.
"""

import _socket

RECEIVE_BUFFER_BYTES = 1_048_576
"""Holds about a second of opening packets; unread bytes count as memory."""

BACKLOG = 16
"""Readiness checks that wait; routers ask twice a second."""


def bind_udp(address: str) -> int:
    """Return the descriptor of a UDP socket bound to ``host:port``.

    Raises
    ------
    OSError, ValueError
        If the address can't be read or bound.
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
        If the address can't be read or bound.
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
