"""An in-memory network: balancer cores, backend servers and callers in one thread.

It is the second adapter of the core's interfaces, beside the sockets. Time is a
number that the caller advances; all chance comes from one seeded generator.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from stoattray_core import (
    Address,
    Core,
    CoreSettings,
    Identity,
    InvariantViolated,
    MemberId,
    Millis,
    ServerId,
    server_address,
    server_id,
)
from stoattray_core.configuration import ConfigEntry
from stoattray_core.outputs import Event, Forward, Output, Reject, Relay, Send
from stoattray_core.resources import ServiceModel
from stoattray_standin.packets import ACK, FIN, PUSH, SYN, Endpoint, tcp_packet

TICK = 10
HOP_DELAY = 1
CALLER_DELAY = 3
SYN_RETRY = 1_000
CONTENT_RETRY = 400
MAX_TRIES = 12
PEER_PORT = 7000
RELAY_PORT = 7001


@dataclass(slots=True)
class Link:
    """Faults between balancers, as probabilities and extra delay."""

    loss: float = 0.0
    repeat: float = 0.0
    max_extra_delay: Millis = 0


@dataclass(slots=True)
class Flow:
    """One flow of a caller."""

    number: int
    service: str
    source: Endpoint
    destination: Endpoint
    n_packets: int
    interval: Millis
    state: str = "opening"
    server: ServerId | None = None
    sent: int = 0
    tries: int = 0
    opened_at: Millis = 0
    avoid: MemberId | None = None


@dataclass(slots=True)
class FakeServer:
    """A backend server that knows its open flows and resets all others."""

    server: ServerId
    service: str
    is_alive: bool = True
    open_flows: set[bytes] = field(default_factory=set)
    opened_at: list[Millis] = field(default_factory=list)


@dataclass(slots=True)
class MemoryNetwork:
    """Everything around the cores, with faults.

    Parameters
    ----------
    seed : int
        Seed of all chance.
    settings : CoreSettings
        Given to each core.
    """

    seed: int
    settings: CoreSettings = field(default_factory=CoreSettings)
    now: Millis = 1_000
    random: Random = field(init=False)
    cores: dict[MemberId, Core] = field(default_factory=dict)
    paused: set[MemberId] = field(default_factory=set)
    cuts: set[frozenset[MemberId]] = field(default_factory=set)
    link: Link = field(default_factory=Link)
    servers: dict[Address, FakeServer] = field(default_factory=dict)
    flows: dict[bytes, Flow] = field(default_factory=dict)
    stats: Counter[str] = field(default_factory=Counter)
    entries: dict[str, ConfigEntry] = field(default_factory=dict)
    revision: int = 0
    config_lag: dict[MemberId, Millis] = field(default_factory=dict)
    events: list[tuple[Millis, MemberId, Event]] = field(default_factory=list)
    message_bytes: Callable[[object], int] | None = None
    sent_bytes: Counter[MemberId] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    repeated_openings: float = 0.0
    build_core: Callable[..., Core] = Core
    _queue: list[tuple[Millis, int, Callable[[], None]]] = field(default_factory=list)
    _order: "itertools.count[int]" = field(default_factory=itertools.count)
    _n_flows: int = 0
    _content: dict[bytes, ServerId] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)

    # Balancers.

    def start(self, name: str, *, data_centre: str = "dc1") -> Core:
        """Start a balancer; a name that ran before starts anew."""
        member = MemberId(name)
        identity = Identity(
            member=member,
            host=name,
            peer_port=PEER_PORT,
            relay_port=RELAY_PORT,
            api_port=0,
            data_centre=data_centre,
            incarnation=self.now,
        )
        seeds = tuple(
            (other, PEER_PORT) for other in self.cores if other != member
        ) or ((name, PEER_PORT),)
        core = self.build_core(
            identity,
            seeds=seeds,
            settings=self.settings,
            random=Random(self.random.getrandbits(64)),
            now=self.now,
        )
        self.cores[member] = core
        self.paused.discard(member)
        self._feed_config(member)
        return core

    def kill(self, name: str) -> None:
        """Stop a balancer without a word."""
        del self.cores[MemberId(name)]
        self.paused.discard(MemberId(name))

    def pause(self, name: str) -> None:
        """Freeze a balancer; what is sent to it is lost."""
        self.paused.add(MemberId(name))

    def resume(self, name: str) -> None:
        """Let a frozen balancer go on."""
        self.paused.discard(MemberId(name))

    def cut(self, left: str, right: str) -> None:
        """Cut two balancers off from each other."""
        self.cuts.add(frozenset((MemberId(left), MemberId(right))))

    def heal(self) -> None:
        """Remove all cuts and link faults."""
        self.cuts.clear()
        self.link = Link()

    # Configuration.

    def declare(self, service: ServiceModel) -> int:
        """Write a service into the store; readers get it after their lag."""
        self.revision += 1
        self._put(f"services/{service.service}", service.model_dump_json())
        self._put(f"addresses/{service.spec.key:x}", service.service)
        for item in service.spec.backend_servers:
            server = server_id(item.name, item.address, item.port)
            fake = FakeServer(server, service.service)
            self.servers.setdefault((item.address, item.port), fake)
        for member in self.cores:
            self._feed_config(member)
        return self.revision

    def _put(self, key: str, value: str) -> None:
        self.entries[key] = ConfigEntry(key, self.revision, value)

    def _feed_config(self, member: MemberId) -> None:
        """Let a reader hear from the store; the others hear from peers."""
        if member not in list(self.cores)[:2]:
            return
        entries = list(self.entries.values())
        revision = self.revision
        delay = self.config_lag.get(member, 0)

        def deliver() -> None:
            core = self.cores.get(member)
            if core is not None and member not in self.paused:
                core.on_config(0, revision, entries)

        self.after(delay, deliver)

    # Time.

    def after(self, delay: Millis, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), action))

    def run(self, duration: Millis) -> None:
        """Advance time."""
        end = self.now + duration
        while self.now < end:
            self.now += 1
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            if self.now % TICK == 0:
                self._tick_cores()

    def carry_out(self, name: str) -> None:
        """Do what a core has asked for outside its inputs."""
        member = MemberId(name)
        self._carry_out(member, self.cores[member])

    def _tick_cores(self) -> None:
        for member in list(self.cores):
            if member not in self.paused:
                core = self.cores[member]
                core.tick(self.now)
                self._carry_out(member, core)

    def _carry_out(self, member: MemberId, core: Core) -> None:
        core.flush()
        for output in core.take_outputs():
            self._carry_out_one(member, output)

    def _carry_out_one(self, member: MemberId, output: Output) -> None:
        match output:
            case Forward(address, data):
                self.after(HOP_DELAY, lambda: self._at_server(address, data))
            case Relay(address, hops, data):
                target = MemberId(address[0])
                self._between(
                    member, target, lambda: self._relayed(member, target, hops, data)
                )
            case Send(address, message):
                target = MemberId(address[0])
                if self.message_bytes is not None:
                    self.sent_bytes[member] += self.message_bytes(message)
                self._between(
                    member, target, lambda: self._message(member, target, message)
                )
            case Reject(kind, data):
                self.stats[f"reject_{kind}"] += 1
                self.after(CALLER_DELAY, lambda: self._rejected(kind, data))
            case Event():
                self.events.append((self.now, member, output))

    def _between(
        self, sender: MemberId, target: MemberId, action: Callable[[], None]
    ) -> None:
        if frozenset((sender, target)) in self.cuts:
            return
        if self.random.random() < self.link.loss:
            return
        n_copies = 2 if self.random.random() < self.link.repeat else 1
        for _ in range(n_copies):
            extra = self.random.randint(0, self.link.max_extra_delay)
            self.after(HOP_DELAY + extra, action)

    def _running(self, member: MemberId) -> Core | None:
        core = None if member in self.paused else self.cores.get(member)
        if core is not None:
            core.notice_time(self.now)
        return core

    def _message(self, sender: MemberId, target: MemberId, message: object) -> None:
        core = self._running(target)
        if core is not None:
            core.on_message(message, sender, (sender, PEER_PORT))
            self._carry_out(target, core)

    def _relayed(
        self, sender: MemberId, target: MemberId, hops: int, data: bytes
    ) -> None:
        core = self._running(target)
        if core is not None:
            self.stats["relayed"] += 1
            core.on_relayed(data, hops, (sender, RELAY_PORT))
            self._carry_out(target, core)

    # Callers.

    def open_flow(
        self, service: ServiceModel, *, n_packets: int = 8, interval: Millis = 50
    ) -> Flow:
        """Open a flow that sends `n_packets` with content, one per interval."""
        self._n_flows += 1
        number = self._n_flows
        host = f"198.51.{100 + number // 50_000 % 100}.{number // 200 % 250 + 1}"
        source = Endpoint(host, 10_000 + number % 50_000)
        destination = Endpoint(service.spec.address, service.spec.port)
        flow = Flow(number, service.service, source, destination, n_packets, interval)
        flow.opened_at = self.now
        self.flows[_flow_key(source, destination)] = flow
        self.stats["flows"] += 1
        self._send_opening(flow)
        return flow

    def _send_opening(self, flow: Flow) -> None:
        if flow.state != "opening":
            return
        flow.tries += 1
        if flow.tries > MAX_TRIES:
            self._break(flow, "no answer to the opening packet")
            return
        opening = tcp_packet(flow.source, flow.destination, flags=SYN)
        self._to_balancer(opening)
        if self.random.random() < self.repeated_openings:
            self._to_balancer(opening)
        self.after(SYN_RETRY, lambda: self._send_opening(flow))

    def _send_content(self, flow: Flow, index: int) -> None:
        if flow.state != "open" or flow.sent != index:
            return
        flow.tries += 1
        if flow.tries > MAX_TRIES * 3:
            self._break(flow, "content was not answered")
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
        self._to_balancer(packet)
        self.after(CONTENT_RETRY, lambda: self._send_content(flow, index))

    def _to_balancer(self, data: bytes) -> None:
        members = list(self.cores)
        if not members:
            return
        target = self.random.choice(members)
        self.stats["packets"] += 1
        self.after(CALLER_DELAY, lambda: self._from_fabric(target, data))

    def _from_fabric(self, target: MemberId, data: bytes) -> None:
        core = self._running(target)
        if core is None:
            return
        address = core.fast_address(data) if core.status.name != "JOINING" else None
        if address is not None:
            self.after(HOP_DELAY, lambda: self._at_server(address, data))
            return
        core.on_packet(data)
        self._carry_out(target, core)

    def _break(self, flow: Flow, why: str) -> None:
        if flow.state in ("broken", "done"):
            return
        flow.state = "broken"
        self.stats["broken"] += 1
        self.broken.append(f"{self.now} flow {flow.number} {flow.server}: {why}")

    def _rejected(self, kind: str, data: bytes) -> None:
        flow = self.flows.get(data[12:24])
        if flow is None:
            return
        if kind in ("no_backend_server", "flow_reused") and flow.state == "opening":
            if data[12:24] in self._content:
                raise InvariantViolated("refused as not run after content was sent")
            flow.state = "refused"
            self.stats["refused"] += 1
        elif kind == "backend_server_dead":
            self._break(flow, "reset: backend server dead")

    # Backend servers.

    def _at_server(self, address: Address, data: bytes) -> None:
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
                server.opened_at.append(self.now)
            self.after(CALLER_DELAY, lambda: self._opened(flow, server.server))
            return
        has_content = len(data) > 40
        if has_content:
            first = self._content.setdefault(key, server.server)
            if first != server.server:
                self.stats["content_at_two_servers"] += 1
        if key not in server.open_flows:
            if flow.state == "open" and flow.server == server.server:
                return
            self.after(
                CALLER_DELAY,
                lambda: self._break(flow, f"reset by {server.server}"),
            )
            return
        index = int.from_bytes(data[24:28]) - 1
        self.after(CALLER_DELAY, lambda: self._answered(flow, index, server))

    def _opened(self, flow: Flow, server: ServerId) -> None:
        if flow.state != "opening":
            return
        flow.state = "open"
        flow.server = server
        flow.tries = 0
        self.after(flow.interval, lambda: self._send_content(flow, 0))

    def _answered(self, flow: Flow, index: int, server: FakeServer) -> None:
        if flow.state != "open" or flow.sent != index:
            return
        flow.sent += 1
        flow.tries = 0
        if index >= flow.n_packets:
            flow.state = "done"
            self.stats["done"] += 1
            key = _flow_key(flow.source, flow.destination)
            server.open_flows.discard(key)
            return
        self.after(flow.interval, lambda: self._send_content(flow, flow.sent))

    def probe_servers(self) -> None:
        """Give every running core one probe result for each of its targets."""
        for member, core in self.cores.items():
            if member in self.paused:
                continue
            for server, _ in core.probe_targets():
                fake = self.servers[server_address(server)]
                core.on_probe_result(server, fake.is_alive)

    def forget_finished(self) -> None:
        """Drop flows that have ended."""
        kept = {
            key: flow
            for key, flow in self.flows.items()
            if flow.state in ("opening", "open")
        }
        self.flows = kept
        self._content = {
            key: self._content[key] for key in kept if key in self._content
        }

    def revive_server(self, address: Address) -> None:
        """Start a backend server again; it knows none of its old flows."""
        self.servers[address].is_alive = True
        self.servers[address].open_flows.clear()

    def kill_server(self, address: Address) -> None:
        """Stop a backend server; its flows are lost with it."""
        self.servers[address].is_alive = False

    def open_counts(self, service: ServiceModel) -> dict[str, int]:
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
