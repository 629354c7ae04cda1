"""Loopback proxies that inject faults into store links and links between balancers."""

import socket as sockets
import struct
from enum import Enum
from functools import partial

import gevent
from gevent import socket
from gevent.server import DatagramServer, StreamServer

CHUNK_BYTES = 65_536
STALL_POLL_SECONDS = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """Fault of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one_way"
    SILENT = "silent"


class StreamProxy:
    """Forwards TCP connections to one server.

    Parameters
    ----------
    listener, target : tuple of str and int
        Address at which clients connect, and address of the server.
    """

    DELAY_SECONDS = 0.25

    def __init__(self, listener: tuple[str, int], target: tuple[str, int]) -> None:
        self.fault = LinkFault.NONE
        self._target = target
        self._connections: set[socket.socket] = set()
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the link's fault; a reset also resets open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for connection in list(self._connections):
                _reset(connection)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def _serve(self, client: socket.socket, _: object) -> None:
        if self.fault is LinkFault.RESET:
            _reset(client)
            return
        try:
            server = socket.create_connection(self._target)
        except OSError:
            _reset(client)
            return
        self._connections |= {client, server}
        tasks = [
            gevent.spawn(partial(self._relay, client, server, is_response=False)),
            gevent.spawn(partial(self._relay, server, client, is_response=True)),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        for connection in (client, server):
            self._connections.discard(connection)
            connection.close()

    def _relay(
        self, source: socket.socket, sink: socket.socket, *, is_response: bool
    ) -> None:
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return
                self._apply_fault(is_response=is_response)
                sink.sendall(data)
            except OSError:
                return

    def _apply_fault(self, *, is_response: bool) -> None:
        if self.fault is LinkFault.DELAY:
            gevent.sleep(self.DELAY_SECONDS)
        while self.fault is LinkFault.SILENT or (
            self.fault is LinkFault.ONE_WAY and is_response
        ):
            gevent.sleep(STALL_POLL_SECONDS)


class DatagramProxy:
    """Forwards datagrams to one balancer.

    Parameters
    ----------
    listener, target : tuple of str and int
        Address to which other balancers send, and address of the balancer.
    """

    def __init__(self, listener: tuple[str, int], target: tuple[str, int]) -> None:
        self.fault = LinkFault.NONE
        self._target = target
        self._server = DatagramServer(listener, self._relay)
        self._server.start()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the link's fault; all faults but a delay drop the datagrams."""
        self.fault = fault

    def stop(self) -> None:
        """Stop forwarding datagrams."""
        self._server.stop()

    def _relay(self, data: bytes, _: object) -> None:
        if self.fault is LinkFault.DELAY:
            gevent.sleep(StreamProxy.DELAY_SECONDS)
        if self.fault in (LinkFault.NONE, LinkFault.DELAY):
            self._server.sendto(data, self._target)


class PeerProxies:
    """Proxies for all traffic that other balancers send to one balancer.

    Parameters
    ----------
    advertised_host, host : str
        IP address that the others use, and the balancer's own.
    ports : tuple of int
        Ports for TCP connections.
    datagram_port : int
        Port for heartbeats.
    """

    def __init__(
        self,
        advertised_host: str,
        host: str,
        ports: tuple[int, ...],
        datagram_port: int,
    ) -> None:
        self._proxies: list[StreamProxy | DatagramProxy] = [
            StreamProxy((advertised_host, port), (host, port)) for port in ports
        ]
        datagram_proxy = DatagramProxy(
            (advertised_host, datagram_port), (host, datagram_port)
        )
        self._proxies.append(datagram_proxy)

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault of all proxies."""
        for proxy in self._proxies:
            proxy.set_fault(fault)

    def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self._proxies:
            proxy.stop()


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE)
        connection.close()
    except OSError:
        return
