"""Stand-in backend servers, each with its own UDP socket.

A backend server answers the packets of a flow with ``service/server:sequence`` and
resets flows that were not opened on it. Answers go to the fabric's return address,
never through a balancer.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import dpkt
import gevent
from gevent import socket
from gevent.server import StreamServer

from stoattray_core import Address
from stoattray_standin.packets import ACK, FIN, RST, SYN, Endpoint, tcp_packet

MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 8_388_608


@dataclass(slots=True)
class BackendServer:
    """A stand-in backend server that answers packets."""

    service: str
    name: str
    address: Address
    return_address: Address
    open_flows: set[bytes] = field(default_factory=set)
    last_opened_at: float = 0.0
    n_opened: int = 0
    n_resets: int = 0
    _sock: socket.socket = field(init=False)

    def __post_init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.bind(self.address)

    def run(self) -> None:
        """Receive and answer packets forever."""
        while True:
            data = self._sock.recv(MAX_DATAGRAM_BYTES)
            answer = self.answer(data)
            if answer is not None:
                self._sock.sendto(answer, self.return_address)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def answer(self, data: bytes) -> bytes | None:
        """Return the answer to one packet."""
        packet = dpkt.ip.IP(data)
        segment = packet.data
        caller = Endpoint(socket.inet_ntoa(packet.src), segment.sport)
        service_endpoint = Endpoint(socket.inet_ntoa(packet.dst), segment.dport)
        flow_key = packet.src + packet.dst + data[20:24]
        if segment.flags & SYN:
            if flow_key not in self.open_flows:
                self.open_flows.add(flow_key)
                self.n_opened += 1
                self.last_opened_at = time.monotonic()
            return tcp_packet(
                service_endpoint,
                caller,
                flags=SYN | ACK,
                acknowledgement=segment.seq + 1,
                payload=self._answer_payload(0),
            )
        if flow_key not in self.open_flows:
            self.n_resets += 1
            return tcp_packet(
                service_endpoint,
                caller,
                flags=RST,
                sequence=segment.ack,
                payload=self._answer_payload(0),
            )
        if segment.flags & FIN:
            self.open_flows.discard(flow_key)
        return tcp_packet(
            service_endpoint,
            caller,
            flags=ACK,
            acknowledgement=segment.seq + 1,
            payload=self._answer_payload(segment.seq),
        )

    def _answer_payload(self, sequence: int) -> bytes:
        return f"{self.service}/{self.name}:{sequence}".encode()


@contextmanager
def health_endpoint(address: Address) -> Iterator[StreamServer]:
    """Accept TCP connections on an address, which is all that health probes need."""
    server = StreamServer(address, _accept)
    server.start()
    try:
        yield server
    finally:
        server.stop()


def _accept(connection: socket.socket, _: Address) -> None:
    connection.close()


def spawn_servers(servers: list[BackendServer]) -> list[gevent.Greenlet]:
    """Run each backend server in a greenlet of its own."""
    return [gevent.spawn(server.run) for server in servers]
