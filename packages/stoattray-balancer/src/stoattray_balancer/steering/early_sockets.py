"""Sockets that are bound before the rest of the program is loaded.

Loading takes some 0.3 s on a small VM. Packets and readiness checks that come
meanwhile wait in the sockets; without this they would be lost, and routers would
ask again only half a second later.
"""

import json
import socket
from typing import NamedTuple

RECEIVE_BUFFER_BYTES = 1_048_576
"""Holds about a second of opening packets; unread bytes count as memory."""

BACKLOG = 16
"""Readiness checks that wait; routers ask twice a second."""


class EarlySockets(NamedTuple):
    """What is bound first."""

    datagram: socket.socket
    readiness: socket.socket


def open_early_sockets(path: str) -> EarlySockets:
    """Bind the sockets that a settings file names.

    Raises
    ------
    OSError, ValueError, KeyError
        If the file can't be read, an address is missing, or it can't be bound.
    """
    with open(path, encoding="utf-8") as file:
        values = json.load(file)
    datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagram.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    datagram.setblocking(False)
    datagram.bind(_address(values["datagram"]))
    readiness = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    readiness.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    readiness.setblocking(False)
    readiness.bind(_address(values["readiness"]))
    readiness.listen(BACKLOG)
    return EarlySockets(datagram, readiness)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
