"""Deterministic simulation of balancers, backend servers and callers in one thread.

It connects balancer cores in memory instead of over sockets. Time is simulated and
advances only when the network is run; all randomness comes from one seeded generator.
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
from stoattray_core.outputs import Forward, LogEvent, Output, Reject, Relay, Send
from stoattray_core.resources import EvacuationModel, ServiceModel
from stoattray_standin._simulated_callers import (
    CALLER_DELAY_MILLIS,
    SimulatedCallers,
    SimulatedServer,
)

TICK_MILLIS = 10
HOP_DELAY_MILLIS = 1
PEER_PORT = 7000
RELAY_PORT = 7001


@dataclass(slots=True)
class LinkFaults:
    """Faults of links between balancers, as probabilities and extra delay."""

    loss: float = 0.0
    duplicate: float = 0.0
    max_extra_delay_millis: Millis = 0


@dataclass(slots=True)
class SimulatedNetwork(SimulatedCallers):
    """Simulated network of balancer cores, with faults.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    settings : CoreSettings
        Settings of each core.
    """

    settings: CoreSettings = field(default_factory=CoreSettings)
    cores: dict[MemberId, Core] = field(default_factory=dict)
    paused: set[MemberId] = field(default_factory=set)
    partitions: set[frozenset[MemberId]] = field(default_factory=set)
    link_faults: LinkFaults = field(default_factory=LinkFaults)
    store_entries: dict[str, ConfigEntry] = field(default_factory=dict)
    revision: int = 0
    config_delays_millis: dict[MemberId, Millis] = field(default_factory=dict)
    events: list[tuple[Millis, MemberId, LogEvent]] = field(default_factory=list)
    measure_message: Callable[[object], int] | None = None
    n_bytes_sent: Counter[MemberId] = field(default_factory=Counter)
    core_factory: Callable[..., Core] = Core
    _queue: list[tuple[Millis, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: "itertools.count[int]" = field(default_factory=itertools.count)

    # Balancers.

    def start_balancer(self, name: str, *, data_centre: str = "dc1") -> Core:
        """Start a balancer, as a new incarnation if the name ran before."""
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
        core = self.core_factory(
            identity,
            seeds=seeds,
            settings=self.settings,
            random=Random(self.random.getrandbits(64)),
            now=self.now,
        )
        self.cores[member] = core
        self.paused.discard(member)
        self._deliver_config(member)
        return core

    def kill_balancer(self, name: str) -> None:
        """Crash a balancer."""
        del self.cores[MemberId(name)]
        self.paused.discard(MemberId(name))

    def pause_balancer(self, name: str) -> None:
        """Pause a balancer; packets and messages sent to it are lost."""
        self.paused.add(MemberId(name))

    def resume_balancer(self, name: str) -> None:
        """Resume a paused balancer."""
        self.paused.discard(MemberId(name))

    def partition(self, left: str, right: str) -> None:
        """Partition two balancers from each other."""
        self.partitions.add(frozenset((MemberId(left), MemberId(right))))

    def clear_link_faults(self) -> None:
        """Remove all partitions and link faults."""
        self.partitions.clear()
        self.link_faults = LinkFaults()

    # Configuration.

    def declare_service(self, service: ServiceModel) -> int:
        """Write a service to the store; readers get it after their delay."""
        self.revision += 1
        self._write_entry(f"services/{service.service}", service.model_dump_json())
        self._write_entry(f"addresses/{service.spec.key:x}", service.service)
        for item in service.spec.backend_servers:
            server = server_id(item.name, item.address, item.port)
            simulated_server = SimulatedServer(server, service.service)
            self.servers.setdefault((item.address, item.port), simulated_server)
        for member in self.cores:
            self._deliver_config(member)
        return self.revision

    def evacuate(self, data_centre: str) -> int:
        """Write the evacuation of a data centre to the store."""
        evacuation = EvacuationModel(data_centre=data_centre)
        return self._write_evacuation(data_centre, evacuation.model_dump_json())

    def end_evacuation(self, data_centre: str) -> int:
        """Delete the evacuation of a data centre from the store."""
        return self._write_evacuation(data_centre, None)

    def _write_evacuation(self, data_centre: str, value: str | None) -> int:
        self.revision += 1
        self._write_entry(f"evacuations/{data_centre}", value)
        for member in self.cores:
            self._deliver_config(member)
        return self.revision

    def _write_entry(self, key: str, value: str | None) -> None:
        self.store_entries[key] = ConfigEntry(key, self.revision, value)

    def _deliver_config(self, member: MemberId) -> None:
        """Deliver the store's entries to a reader; others get them from peers."""
        if member not in list(self.cores)[:2]:
            return
        entries = list(self.store_entries.values())
        revision = self.revision
        delay = self.config_delays_millis.get(member, 0)

        def deliver() -> None:
            core = self.cores.get(member)
            if core is not None and member not in self.paused:
                core.on_config(0, revision, entries)

        self.schedule(delay, deliver)

    # Time.

    def schedule(self, delay: Millis, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), action))

    def run(self, duration: Millis) -> None:
        """Advance time by `duration`, running due actions and ticks."""
        end = self.now + duration
        while self.now < end:
            self.now += 1
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            if self.now % TICK_MILLIS == 0:
                self._tick_cores()

    def execute_outputs(self, name: str) -> None:
        """Execute the outputs of a core after a direct call to it."""
        member = MemberId(name)
        self._execute_member_outputs(member, self.cores[member])

    def _tick_cores(self) -> None:
        for member in list(self.cores):
            if member not in self.paused:
                core = self.cores[member]
                core.tick(self.now)
                self._execute_member_outputs(member, core)

    def _execute_member_outputs(self, member: MemberId, core: Core) -> None:
        core.flush()
        for output in core.take_outputs():
            self._execute_output(member, output)

    def _execute_output(self, member: MemberId, output: Output) -> None:
        match output:
            case Forward(address, data):
                self.schedule(
                    HOP_DELAY_MILLIS, lambda: self._deliver_to_server(address, data)
                )
            case Relay(address, hops, data):
                target = MemberId(address[0])
                self._transmit(
                    member,
                    target,
                    lambda: self._deliver_relayed(member, target, hops, data),
                )
            case Send(address, message):
                target = MemberId(address[0])
                if self.measure_message is not None:
                    self.n_bytes_sent[member] += self.measure_message(message)
                self._transmit(
                    member,
                    target,
                    lambda: self._deliver_message(member, target, message),
                )
            case Reject(kind, data):
                self.stats[f"reject_{kind}"] += 1
                self.schedule(CALLER_DELAY_MILLIS, lambda: self._on_reject(kind, data))
            case LogEvent():
                self.events.append((self.now, member, output))

    def _transmit(
        self, sender: MemberId, target: MemberId, action: Callable[[], None]
    ) -> None:
        if frozenset((sender, target)) in self.partitions:
            return
        if self.random.random() < self.link_faults.loss:
            return
        n_copies = 2 if self.random.random() < self.link_faults.duplicate else 1
        for _ in range(n_copies):
            extra_delay = self.random.randint(
                0, self.link_faults.max_extra_delay_millis
            )
            self.schedule(HOP_DELAY_MILLIS + extra_delay, action)

    def _running_core(self, member: MemberId) -> Core | None:
        core = None if member in self.paused else self.cores.get(member)
        if core is not None:
            core.tick_after_pause(self.now)
        return core

    def _deliver_message(
        self, sender: MemberId, target: MemberId, message: object
    ) -> None:
        core = self._running_core(target)
        if core is not None:
            core.on_message(message, sender, (sender, PEER_PORT))
            self._execute_member_outputs(target, core)

    def _deliver_relayed(
        self, sender: MemberId, target: MemberId, hops: int, data: bytes
    ) -> None:
        core = self._running_core(target)
        if core is not None:
            self.stats["relayed"] += 1
            core.on_relayed(data, hops, (sender, RELAY_PORT))
            self._execute_member_outputs(target, core)

    # Fabric and probes.

    def _send_to_balancer(self, data: bytes) -> None:
        members = list(self.cores)
        if not members:
            return
        target = self.random.choice(members)
        self.stats["packets"] += 1
        self.schedule(
            CALLER_DELAY_MILLIS, lambda: self._deliver_from_fabric(target, data)
        )

    def _deliver_from_fabric(self, target: MemberId, data: bytes) -> None:
        core = self._running_core(target)
        if core is None:
            return
        address = (
            core.fast_path_address(data) if core.status.name != "JOINING" else None
        )
        if address is not None:
            self.schedule(
                HOP_DELAY_MILLIS, lambda: self._deliver_to_server(address, data)
            )
            return
        core.on_packet(data)
        self._execute_member_outputs(target, core)

    def probe_servers(self) -> None:
        """Report to every running core one probe result for each of its targets."""
        for member, core in self.cores.items():
            if member in self.paused:
                continue
            for server, _ in core.probe_targets():
                simulated_server = self.servers[server_address(server)]
                core.on_probe_result(server, simulated_server.is_alive)
