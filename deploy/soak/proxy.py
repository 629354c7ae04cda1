"""Loopback proxies of links to the store and between balancers, with their faults."""

import socket as sockets
import struct
from enum import Enum
from functools import partial

import gevent
from gevent import socket
from gevent.server import DatagramServer, StreamServer

CHUNK_BYTES = 65_536
HOLD_SECONDS = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """What the link does."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one_way"
    SILENT = "silent"


class LinkProxy:
    """Passes bytes of connections to one server.

    Parameters
    ----------
    listener, target : tuple of str and int
        Where clients connect, and the server.
    """

    DELAY_SECONDS = 0.25

    def __init__(self, listener: tuple[str, int], target: tuple[str, int]) -> None:
        self.fault = LinkFault.NONE
        self._target = target
        self._open: set[socket.socket] = set()
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    def set_fault(self, fault: LinkFault) -> None:
        """Change what the link does; a reset also ends open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for connection in list(self._open):
                _reset(connection)

    def stop(self) -> None:
        """Take no more connections."""
        self._server.stop()

    def _serve(self, near: socket.socket, _: object) -> None:
        if self.fault is LinkFault.RESET:
            _reset(near)
            return
        try:
            far = socket.create_connection(self._target)
        except OSError:
            _reset(near)
            return
        self._open |= {near, far}
        tasks = [
            gevent.spawn(partial(self._pass, near, far, is_answer=False)),
            gevent.spawn(partial(self._pass, far, near, is_answer=True)),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        for connection in (near, far):
            self._open.discard(connection)
            connection.close()

    def _pass(
        self, source: socket.socket, sink: socket.socket, *, is_answer: bool
    ) -> None:
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return
                self._wait(is_answer=is_answer)
                sink.sendall(data)
            except OSError:
                return

    def _wait(self, *, is_answer: bool) -> None:
        if self.fault is LinkFault.DELAY:
            gevent.sleep(self.DELAY_SECONDS)
        while self.fault is LinkFault.SILENT or (
            self.fault is LinkFault.ONE_WAY and is_answer
        ):
            gevent.sleep(HOLD_SECONDS)


class DatagramProxy:
    """Passes datagrams to one balancer.

    Parameters
    ----------
    listener, target : tuple of str and int
        Where others send, and the balancer.
    """

    def __init__(self, listener: tuple[str, int], target: tuple[str, int]) -> None:
        self.fault = LinkFault.NONE
        self._target = target
        self._server = DatagramServer(listener, self._pass)
        self._server.start()

    def set_fault(self, fault: LinkFault) -> None:
        """Change what the link does; datagrams know no reset, and are dropped."""
        self.fault = fault

    def stop(self) -> None:
        """Pass no more datagrams."""
        self._server.stop()

    def _pass(self, data: bytes, _: object) -> None:
        if self.fault is LinkFault.DELAY:
            gevent.sleep(LinkProxy.DELAY_SECONDS)
        if self.fault in (LinkFault.NONE, LinkFault.DELAY):
            self._server.sendto(data, self._target)


class PeerLinks:
    """All that other balancers send to one of them.

    Parameters
    ----------
    front, host : str
        Address that the others use, and the balancer's own.
    ports : tuple of int
        Ports of connections.
    datagram_port : int
        Port of heartbeats.
    """

    def __init__(
        self, front: str, host: str, ports: tuple[int, ...], datagram_port: int
    ) -> None:
        self._links: list[LinkProxy | DatagramProxy] = [
            LinkProxy((front, port), (host, port)) for port in ports
        ]
        datagrams = DatagramProxy((front, datagram_port), (host, datagram_port))
        self._links.append(datagrams)

    def set_fault(self, fault: LinkFault) -> None:
        """Change what all of them do."""
        for link in self._links:
            link.set_fault(fault)

    def stop(self) -> None:
        """Pass nothing more."""
        for link in self._links:
            link.stop()


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE)
        connection.close()
    except OSError:
        return
