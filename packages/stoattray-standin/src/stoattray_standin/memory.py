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
    Core,
    CoreSettings,
    Identity,
    MemberId,
    Millis,
    server_address,
    server_id,
)
from stoattray_core.configuration import ConfigEntry
from stoattray_core.outputs import Event, Forward, Output, Reject, Relay, Send
from stoattray_core.resources import ServiceModel
from stoattray_standin._memory_callers import CALLER_DELAY, FakeServer, MemoryCallers

TICK = 10
HOP_DELAY = 1
PEER_PORT = 7000
RELAY_PORT = 7001


@dataclass(slots=True)
class Link:
    """Faults between balancers, as probabilities and extra delay."""

    loss: float = 0.0
    repeat: float = 0.0
    max_extra_delay: Millis = 0


@dataclass(slots=True)
class MemoryNetwork(MemoryCallers):
    """Everything around the cores, with faults.

    Parameters
    ----------
    seed : int
        Seed of all chance.
    settings : CoreSettings
        Given to each core.
    """

    settings: CoreSettings = field(default_factory=CoreSettings)
    cores: dict[MemberId, Core] = field(default_factory=dict)
    paused: set[MemberId] = field(default_factory=set)
    cuts: set[frozenset[MemberId]] = field(default_factory=set)
    link: Link = field(default_factory=Link)
    entries: dict[str, ConfigEntry] = field(default_factory=dict)
    revision: int = 0
    config_lag: dict[MemberId, Millis] = field(default_factory=dict)
    events: list[tuple[Millis, MemberId, Event]] = field(default_factory=list)
    message_bytes: Callable[[object], int] | None = None
    sent_bytes: Counter[MemberId] = field(default_factory=Counter)
    build_core: Callable[..., Core] = Core
    _queue: list[tuple[Millis, int, Callable[[], None]]] = field(default_factory=list)
    _order: "itertools.count[int]" = field(default_factory=itertools.count)

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

    # Fabric and probes.

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

    def probe_servers(self) -> None:
        """Give every running core one probe result for each of its targets."""
        for member, core in self.cores.items():
            if member in self.paused:
                continue
            for server, _ in core.probe_targets():
                fake = self.servers[server_address(server)]
                core.on_probe_result(server, fake.is_alive)
