"""Callers and backend servers of the simulated network."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from stoattray_core import Address, InvariantViolated, Millis, ServerId
from stoattray_core.resources import ServiceModel
from stoattray_standin.packets import ACK, FIN, PUSH, SYN, Endpoint, tcp_packet

CALLER_DELAY_MILLIS = 3
SYN_RETRY_MILLIS = 1_000
CONTENT_RETRY_MILLIS = 400
MAX_ATTEMPTS = 12


@dataclass(slots=True)
class Flow:
    """State of one flow at its caller."""

    number: int
    service: str
    source: Endpoint
    destination: Endpoint
    n_packets: int
    interval_millis: Millis
    state: str = "opening"
    server_id: ServerId | None = None
    n_answered: int = 0
    n_attempts: int = 0
    opened_at: Millis = 0


@dataclass(slots=True)
class SimulatedServer:
    """A backend server that tracks its open flows and resets all other flows."""

    server_id: ServerId
    service: str
    is_alive: bool = True
    open_flows: set[bytes] = field(default_factory=set)
    opening_times: list[Millis] = field(default_factory=list)


@dataclass(slots=True)
class SimulatedCallers:
    """Opens flows, answers their packets and records how they end.

    The network is a subclass that provides time and the path to the balancers.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    """

    seed: int
    now: Millis = 1_000
    random: Random = field(init=False)
    servers: dict[Address, SimulatedServer] = field(default_factory=dict)
    flows: dict[bytes, Flow] = field(default_factory=dict)
    stats: Counter[str] = field(default_factory=Counter)
    broken_flows: list[str] = field(default_factory=list)
    duplicate_opening_probability: float = 0.0
    _n_opened: int = 0
    _first_content_servers: dict[bytes, ServerId] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)

    def schedule(self, delay: Millis, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        raise NotImplementedError

    def _send_to_balancer(self, data: bytes) -> None:
        """Send a packet to a balancer through the fabric."""
        raise NotImplementedError

    def open_flow(
        self, service: ServiceModel, *, n_packets: int = 8, interval_millis: Millis = 50
    ) -> Flow:
        """Open a flow that sends `n_packets` packets with content at an interval."""
        self._n_opened += 1
        number = self._n_opened
        host = f"198.51.{100 + number // 50_000 % 100}.{number // 200 % 250 + 1}"
        source = Endpoint(host, 10_000 + number % 50_000)
        destination = Endpoint(service.spec.address, service.spec.port)
        flow = Flow(
            number, service.service, source, destination, n_packets, interval_millis
        )
        flow.opened_at = self.now
        self.flows[_flow_key(source, destination)] = flow
        self.stats["flows"] += 1
        self._send_opening(flow)
        return flow

    def _send_opening(self, flow: Flow) -> None:
        if flow.state != "opening":
            return
        flow.n_attempts += 1
        if flow.n_attempts > MAX_ATTEMPTS:
            self._mark_broken(flow, "no answer to the opening packet")
            return
        opening = tcp_packet(flow.source, flow.destination, flags=SYN)
        self._send_to_balancer(opening)
        if self.random.random() < self.duplicate_opening_probability:
            self._send_to_balancer(opening)
        self.schedule(SYN_RETRY_MILLIS, lambda: self._send_opening(flow))

    def _send_content(self, flow: Flow, index: int) -> None:
        if flow.state != "open" or flow.n_answered != index:
            return
        flow.n_attempts += 1
        if flow.n_attempts > MAX_ATTEMPTS * 3:
            self._mark_broken(flow, "content was not answered")
            return
        is_last = index >= flow.n_packets
        flags = FIN | ACK if is_last else ACK | PUSH
        payload = b"" if is_last else b"request %d" % index
        packet = tcp_packet(
            flow.source,
            flow.destination,
            flags=flags,
            payload=payload,
            sequence=index + 1,
        )
        self._send_to_balancer(packet)
        self.schedule(CONTENT_RETRY_MILLIS, lambda: self._send_content(flow, index))

    def _mark_broken(self, flow: Flow, reason: str) -> None:
        if flow.state in ("broken", "done"):
            return
        flow.state = "broken"
        self.stats["broken"] += 1
        self.broken_flows.append(
            f"{self.now} flow {flow.number} {flow.server_id}: {reason}"
        )

    def _on_reject(self, kind: str, data: bytes) -> None:
        flow = self.flows.get(data[12:24])
        if flow is None:
            return
        if kind in ("no_backend_server", "flow_reused") and flow.state == "opening":
            if data[12:24] in self._first_content_servers:
                raise InvariantViolated(
                    "opening refused after content reached a backend server"
                )
            flow.state = "refused"
            self.stats["refused"] += 1
        elif kind == "backend_server_dead":
            self._mark_broken(flow, "reset: backend server dead")

    def _deliver_to_server(self, address: Address, data: bytes) -> None:
        server = self.servers[address]
        if not server.is_alive:
            return
        flow = self.flows.get(data[12:24])
        if flow is None:
            return
        if flow.service != server.service:
            raise InvariantViolated("packet at a backend server of another service")
        flags = data[33]
        key = data[12:24]
        if flags & SYN:
            if key not in server.open_flows:
                server.open_flows.add(key)
                server.opening_times.append(self.now)
            self.schedule(
                CALLER_DELAY_MILLIS,
                lambda: self._on_opening_answer(flow, server.server_id),
            )
            return
        has_content = len(data) > 40
        if has_content:
            first_server = self._first_content_servers.setdefault(key, server.server_id)
            if first_server != server.server_id:
                self.stats["content_at_two_servers"] += 1
        if key not in server.open_flows:
            if flow.state == "open" and flow.server_id == server.server_id:
                return
            self.schedule(
                CALLER_DELAY_MILLIS,
                lambda: self._mark_broken(flow, f"reset by {server.server_id}"),
            )
            return
        index = int.from_bytes(data[24:28]) - 1
        self.schedule(
            CALLER_DELAY_MILLIS, lambda: self._on_content_answer(flow, index, server)
        )

    def _on_opening_answer(self, flow: Flow, server_id: ServerId) -> None:
        if flow.state != "opening":
            return
        flow.state = "open"
        flow.server_id = server_id
        flow.n_attempts = 0
        self.schedule(flow.interval_millis, lambda: self._send_content(flow, 0))

    def _on_content_answer(
        self, flow: Flow, index: int, server: SimulatedServer
    ) -> None:
        if flow.state != "open" or flow.n_answered != index:
            return
        flow.n_answered += 1
        flow.n_attempts = 0
        if index >= flow.n_packets:
            flow.state = "done"
            self.stats["done"] += 1
            key = _flow_key(flow.source, flow.destination)
            server.open_flows.discard(key)
            return
        self.schedule(
            flow.interval_millis, lambda: self._send_content(flow, flow.n_answered)
        )

    def remove_ended_flows(self) -> None:
        """Remove flows that have ended."""
        kept = {
            key: flow
            for key, flow in self.flows.items()
            if flow.state in ("opening", "open")
        }
        self.flows = kept
        self._first_content_servers = {
            key: self._first_content_servers[key]
            for key in kept
            if key in self._first_content_servers
        }

    def restart_server(self, address: Address) -> None:
        """Restart a backend server without its earlier open flows."""
        self.servers[address].is_alive = True
        self.servers[address].open_flows.clear()

    def kill_server(self, address: Address) -> None:
        """Stop a backend server; its open flows are lost."""
        self.servers[address].is_alive = False

    def count_open_flows(self, service: ServiceModel) -> dict[str, int]:
        """Return the number of open flows per backend server of a service."""
        return {
            item.name: len(self.servers[(item.address, item.port)].open_flows)
            for item in service.spec.backend_servers
        }


def _flow_key(source: Endpoint, destination: Endpoint) -> bytes:
    return (
        source.packed
        + destination.packed
        + source.port.to_bytes(2)
        + destination.port.to_bytes(2)
    )
