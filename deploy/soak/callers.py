"""Simulated routers and callers: flows with one request and with many."""

import json
import socket as sockets
import struct
import zlib
from collections.abc import Callable

import gevent
import packets
from backend_servers import SharedState
from fleet import Balancer, Fleet
from gevent import socket
from gevent.queue import Empty, Queue
from losses import Ports
from packets import ACK, FIN, RST, SYN, Packet

OPENING_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
REQUEST_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8, 1.6)
PROBE_PERIOD_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.45
N_FAILURES_TO_REMOVE = 2
"""Consecutive failed readiness probes that take a balancer out of rotation."""


class Routers:
    """Distributes packets over the balancers that pass readiness checks."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._n_failures: dict[str, int] = {}

    def run(self) -> None:
        """Probe the readiness of all balancers periodically; never returns."""
        while True:
            for balancer in self._fleet.balancers:
                gevent.spawn(self._probe, balancer)
            gevent.sleep(PROBE_PERIOD_SECONDS)

    @property
    def in_rotation(self) -> list[Balancer]:
        """Return the ready balancers, or all if fewer than half are ready."""
        balancers = self._fleet.balancers
        in_rotation = [
            b
            for b in balancers
            if self._n_failures.get(b.name, N_FAILURES_TO_REMOVE) < N_FAILURES_TO_REMOVE
        ]
        return (
            in_rotation if 2 * len(in_rotation) >= len(balancers) else list(balancers)
        )

    def balancer_for(self, flow: bytes) -> Balancer:
        """Return the balancer that currently receives a flow's packets."""
        return max(self.in_rotation, key=lambda b: zlib.crc32(flow + b.name.encode()))

    def _probe(self, balancer: Balancer) -> None:
        is_ready = False
        try:
            if balancer.is_cut_off:
                raise TimeoutError
            with gevent.Timeout(PROBE_TIMEOUT_SECONDS, TimeoutError()):
                connection = socket.create_connection(balancer.readiness_address)
                try:
                    connection.sendall(
                        b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
                    )
                    is_ready = b" 200 " in connection.recv(1_024)
                finally:
                    connection.close()
        except (OSError, TimeoutError):
            is_ready = False
        n_failures = (
            0
            if is_ready
            else self._n_failures.get(balancer.name, N_FAILURES_TO_REMOVE) + 1
        )
        self._n_failures[balancer.name] = n_failures


class Caller:
    """A simulated caller: one IP address and its flows.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port at which it receives packets.
    shared : SharedState
        State shared by all simulated components.
    routers : Routers
        Choose the balancer for each packet.
    """

    def __init__(
        self, host: str, port: int, shared: SharedState, routers: Routers
    ) -> None:
        self._source = sockets.inet_aton(host)
        self._shared = shared
        self._routers = routers
        self._ports = Ports(reuses=shared.losses is not None)
        self._queues: dict[bytes, Queue] = {}
        self._socket = socket.socket(sockets.AF_INET, sockets.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._receiver = gevent.spawn(self._receive)

    def close(self) -> None:
        """Stop receiving packets."""
        self._receiver.kill()
        self._socket.close()

    def create_flow(self, destination: bytes) -> "CallerFlow":
        """Return an unopened flow with a new source port."""
        port = self._ports.take(self._shared.monitor.elapsed_seconds)
        key = self._source + destination + port
        self._queues[key] = Queue()
        self._shared.flow_owners.pop(key, None)
        return CallerFlow(key, self._queues[key], self._send, self._shared)

    def release(self, flow: "CallerFlow") -> None:
        """Use the port of a flow that has ended again after a while."""
        self._ports.release(flow.key, self._shared.monitor.elapsed_seconds)

    def _send(self, key: bytes, datagram: bytes) -> None:
        balancer = self._routers.balancer_for(key)
        if balancer.is_cut_off:
            return
        try:
            self._socket.sendto(datagram, balancer.datagram_address)
        except OSError:
            self._shared.monitor.counts["packets to a dead balancer"] += 1

    def _receive(self) -> None:
        while True:
            try:
                packet = packets.decode(self._socket.recv(2_048))
            except OSError:
                continue
            queue = self._queues.get(packet.response_flow_key)
            if queue is not None:
                queue.put(packet)


class CallerFlow:
    """The caller's side of a flow."""

    def __init__(
        self,
        key: bytes,
        queue: Queue,
        send: Callable[[bytes, bytes], None],
        shared: SharedState,
    ) -> None:
        self._key = key
        self._queue = queue
        self._send_packet = send
        self._shared = shared
        self._echo = 0
        self._acknowledgement = 0
        self._sequence = shared.random.randrange(1, 2**31)

    @property
    def key(self) -> bytes:
        """Return the flow's key."""
        return self._key

    def open(self) -> str:
        """Open the flow; return "open", "reset" or "unanswered"."""
        for n_sent, seconds in enumerate(OPENING_TIMEOUTS_SECONDS):
            self._send(SYN, acknowledgement=n_sent)
            packet = self._wait_for(seconds, lambda packet: packet.flags & (SYN | RST))
            if packet is not None and packet.flags & RST:
                return "reset"
            if packet is not None:
                self._acknowledgement = packet.sequence + 1
                self._send(ACK)
                return "open"
        return "unanswered"

    def send_request(self, request_id: str, *, is_idempotent: bool) -> str:
        """Send a request; return "answered", "reset" or "unanswered"."""
        body = json.dumps({"id": request_id, "idempotent": is_idempotent}).encode()
        parts: dict[bytes, bytes] = {}
        for seconds in REQUEST_TIMEOUTS_SECONDS:
            self._send(ACK, data=body)
            while True:
                packet = self._wait_for(
                    seconds, lambda packet: packet.flags & RST or packet.data
                )
                if packet is None:
                    break
                if packet.flags & RST:
                    return self._check_reset(packet)
                answered_id, _, part = packet.data.partition(b"|")
                if answered_id != request_id.encode():
                    continue  # duplicate response to an earlier request of this flow
                parts[part[:1]] = part[1:]
                if len(parts) == 2:
                    self._send(ACK)
                    return self._check_response(request_id, parts)
        return "unanswered"

    def close(self) -> None:
        """End the flow."""
        self._send(FIN | ACK)

    def _check_reset(self, packet: Packet) -> str:
        """Check that a backend server sent the reset; a balancer's has no checksum."""
        if not packet.has_valid_checksum:
            self._shared.monitor.record_violation(
                "no reset of an open flow", flow=str(self._key)
            )
        return "reset"

    def _check_response(self, request_id: str, parts: dict[bytes, bytes]) -> str:
        body = json.loads(parts[b"0"] + parts[b"1"])
        destination = self._key[4:10]
        is_expected_service = body[
            "service"
        ] in self._shared.services_by_destination.get(destination, set())
        if body["id"] != request_id or not is_expected_service:
            self._shared.monitor.record_violation(
                "own whole answer", asked=request_id, got=body["id"]
            )
        return "answered"

    def _wait_for(
        self, seconds: float, matches: Callable[[Packet], object]
    ) -> Packet | None:
        deadline = gevent.get_hub().loop.now() + seconds
        while True:
            remaining = deadline - gevent.get_hub().loop.now()
            try:
                packet = self._queue.get(timeout=max(0.0, remaining))
            except Empty:
                return None
            if packet.has_valid_checksum:
                self._echo = packet.echo
            if matches(packet):
                return packet

    def _send(
        self, flags: int, *, acknowledgement: int | None = None, data: bytes = b""
    ) -> None:
        destination_port, source_port = struct.unpack(">HH", self._key[8:12])
        packet = Packet(
            0 if flags & SYN else self._echo,
            flags,
            self._key[:4],
            self._key[4:8],
            destination_port,
            source_port,
            0,
            self._sequence,
            self._acknowledgement if acknowledgement is None else acknowledgement,
            data,
        )
        self._send_packet(self._key, packets.encode(packet))
