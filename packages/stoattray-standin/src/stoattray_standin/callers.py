"""Stand-in callers and a fabric that sends each packet to a random balancer."""

import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import dpkt
import gevent
from gevent import socket

from stoattray_core import Address
from stoattray_standin.packets import ACK, FIN, PUSH, RST, SYN, Endpoint, tcp_packet

MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 8_388_608
OPENING_RETRY_SECONDS = 1.0
CONTENT_RETRY_SECONDS = 0.4
MAX_ATTEMPTS = 15
FIRST_PORT = 10_000
N_PORTS = 50_000


@dataclass(frozen=True, slots=True)
class Workload:
    """Load on one service.

    Parameters
    ----------
    service : str
        Full name, as in the answers of backend servers.
    destination : Endpoint
        Address of the service.
    flows_per_second : float
        Flows opened per second.
    n_packets_choices : tuple of int
        Numbers of packets with content; each flow draws one.
    interval_seconds : float
        Pause before each packet of a flow after the opening packet.
    """

    service: str
    destination: Endpoint
    flows_per_second: float
    n_packets_choices: tuple[int, ...]
    interval_seconds: float


@dataclass(slots=True)
class CallerFlow:
    """State of one flow at its caller."""

    workload: Workload
    source: Endpoint
    n_packets: int
    sequence: int = 0
    n_attempts: int = 0
    server: str = ""
    outcome: str = ""
    answer_received: "gevent.event.Event" = field(
        default_factory=lambda: gevent.event.Event()
    )


class Callers:
    """Opens flows, sends their packets through the fabric and checks the answers.

    Parameters
    ----------
    balancers : list of Address
        Fabric endpoints; each packet goes to one of them at random.
    return_address : Address
        Address that receives the answers.
    seed : int
        Seed of the random generator.
    """

    def __init__(
        self, balancers: list[Address], return_address: Address, seed: int
    ) -> None:
        self.balancers = list(balancers)
        self.stats: Counter[str] = Counter()
        self.failures: list[str] = []
        self._random = Random(seed)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.bind(return_address)
        self._flows: dict[bytes, CallerFlow] = {}
        self._n_opened = 0
        self.opens_flows = True

    def receive_answers(self) -> None:
        """Receive answers and dispatch them to their flows, forever."""
        while True:
            self._on_answer(self._sock.recv(MAX_DATAGRAM_BYTES))

    def run_workload(self, workload: Workload) -> None:
        """Open flows at the workload's rate while `opens_flows` is set."""
        started = time.monotonic()
        n_opened = 0
        while self.opens_flows:
            n_due = int((time.monotonic() - started) * workload.flows_per_second)
            for _ in range(n_due - n_opened):
                gevent.spawn(self._run_flow, self._new_flow(workload))
            n_opened = n_due
            gevent.sleep(0.02)

    @property
    def n_open(self) -> int:
        """Return the number of flows that have not ended."""
        return len(self._flows)

    def _new_flow(self, workload: Workload) -> CallerFlow:
        number = self._n_opened
        self._n_opened += 1
        host = f"203.0.113.{1 + number // N_PORTS % 250}"
        source = Endpoint(host, FIRST_PORT + number % N_PORTS)
        n_packets = self._random.choice(workload.n_packets_choices)
        flow = CallerFlow(workload, source, n_packets)
        self._flows[_answer_key(flow)] = flow
        self.stats["flows"] += 1
        return flow

    def _run_flow(self, flow: CallerFlow) -> None:
        is_open = self._send_until_answered(flow, SYN, b"", OPENING_RETRY_SECONDS)
        while is_open and flow.sequence <= flow.n_packets:
            gevent.sleep(flow.workload.interval_seconds)
            is_last = flow.sequence == flow.n_packets
            flags = FIN | ACK if is_last else ACK | PUSH
            payload = b"" if is_last else b"request"
            is_open = self._send_until_answered(
                flow, flags, payload, CONTENT_RETRY_SECONDS
            )
        outcome = flow.outcome or "done"
        self.stats[outcome] += 1
        del self._flows[_answer_key(flow)]

    def _send_until_answered(
        self, flow: CallerFlow, flags: int, payload: bytes, retry_seconds: float
    ) -> bool:
        """Resend a packet until it is answered; return whether the flow is open."""
        packet = tcp_packet(
            flow.source,
            flow.workload.destination,
            flags=flags,
            payload=payload,
            sequence=flow.sequence,
        )
        sequence = flow.sequence
        for _ in range(MAX_ATTEMPTS):
            flow.answer_received.clear()
            self.stats["packets"] += 1
            self._sock.sendto(packet, self._random.choice(self.balancers))
            flow.answer_received.wait(retry_seconds)
            if flow.outcome:
                return False
            if flow.sequence > sequence:
                return True
        self._mark_broken(flow, "no answer")
        return False

    def _mark_broken(self, flow: CallerFlow, reason: str) -> None:
        flow.outcome = "broken"
        self.failures.append(
            f"{flow.workload.service} {flow.source} {flow.server} {reason}"
        )

    def _on_answer(self, data: bytes) -> None:
        packet = dpkt.ip.IP(data)
        segment = packet.data
        key = packet.dst + packet.src + data[22:24] + data[20:22]
        flow = self._flows.get(key)
        if flow is None or flow.outcome:
            return
        server_name, _, sequence = bytes(segment.data).decode().rpartition(":")
        if server_name and not server_name.startswith(flow.workload.service + "/"):
            self.stats["misdelivered"] += 1
            self.failures.append(f"{flow.workload.service} answered by {server_name}")
        if segment.flags & RST:
            self._on_reset(flow, server_name)
        elif segment.flags & SYN:
            self._on_opening_answer(flow, server_name)
        elif int(sequence) == flow.sequence and server_name == flow.server:
            flow.sequence += 1
        flow.answer_received.set()

    def _on_opening_answer(self, flow: CallerFlow, server_name: str) -> None:
        if flow.sequence == 0:
            flow.server = server_name
            flow.sequence = 1

    def _on_reset(self, flow: CallerFlow, server_name: str) -> None:
        if flow.sequence == 0:
            flow.outcome = "refused"
        else:
            self._mark_broken(flow, f"reset by {server_name or 'a balancer'}")


def _answer_key(flow: CallerFlow) -> bytes:
    destination = flow.workload.destination
    return (
        flow.source.packed
        + destination.packed
        + flow.source.port.to_bytes(2)
        + destination.port.to_bytes(2)
    )
