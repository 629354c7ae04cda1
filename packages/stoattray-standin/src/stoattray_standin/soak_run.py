"""Soak runs on the simulated network: random faults, alone or in pairs, under load.

A run is a sequence of episodes. Each injects faults at random times, ends them and
waits until all flows have ended, so that a broken flow can be attributed to the
faults of its episode. Invariants are checked throughout.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from stoattray_core import InvariantViolated, Millis
from stoattray_core.resources import ServiceModel
from stoattray_standin.services import SERVER_PORT, build_service
from stoattray_standin.simulated_network import LinkFaults, SimulatedNetwork

STEP_MILLIS = 10
PROBE_PERIOD_MILLIS = 1_000
MIN_BALANCERS = 4
MAX_BALANCERS = 6
N_EPISODE_STEPS = 1_600
SETTLE_TIMEOUT_MILLIS = 90_000


@dataclass(frozen=True, slots=True)
class Fault:
    """A kind of fault or planned change.

    Parameters
    ----------
    name : str
        Shown in the summary.
    inject : callable
        Starts the fault in a run.
    may_break_flows : bool
        Whether flows may break without a defect, because their backend server died
        or partitioned balancers disagree.
    """

    name: str
    inject: Callable[["SoakRun"], None]
    may_break_flows: bool = False


@dataclass(slots=True)
class SoakResult:
    """Summary of one run."""

    seed: int
    n_steps: int = 0
    n_episodes: int = 0
    n_flows: int = 0
    n_packets: int = 0
    n_done: int = 0
    n_refused: int = 0
    n_broken_expected: int = 0
    broken_flows: list[str] = field(default_factory=list)
    n_content_at_two_servers: int = 0
    n_injected_by_fault: Counter[str] = field(default_factory=Counter)
    n_config_reverts: int = 0


class SoakRun:
    """One seeded run on the simulated network.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    """

    def __init__(self, seed: int) -> None:
        self.network = SimulatedNetwork(seed)
        self.random = self.network.random
        self.result = SoakResult(seed)
        self.draining: dict[str, frozenset[str]] = {}
        self._n_balancers = 0
        self._seen_revisions: dict[str, tuple[int, int]] = {}
        self._services = {"tanglaw": "lookup", "ferreyra": "aula-core"}
        for _ in range(5):
            self.start_balancer()
        for organisation in self._services:
            self.declare(organisation)
        self.network.run(5_000)

    def run(self, n_steps: int) -> SoakResult:
        """Run at least `n_steps` steps and return the summary."""
        while self.result.n_steps < n_steps:
            self._run_episode()
        self.result.n_flows = self.network.stats["flows"]
        self.result.n_packets = self.network.stats["packets"]
        self.result.n_done = self.network.stats["done"]
        self.result.n_refused = self.network.stats["refused"]
        return self.result

    def current_service(self, organisation: str) -> ServiceModel:
        """Return an organisation's service as currently declared."""
        draining = self.draining.get(organisation, frozenset())
        if organisation == "tanglaw":
            return build_service(
                "tanglaw",
                "lookup",
                address="192.0.2.10",
                n_servers=7,
                idle_limit_seconds=4.0,
                draining=draining,
            )
        return build_service(
            "ferreyra",
            "aula-core",
            address="192.0.2.20",
            n_servers=7,
            idle_limit_seconds=4.0,
            policy="balance",
            first_host=101,
            draining=draining,
        )

    def declare(self, organisation: str) -> None:
        """Write an organisation's service to the store."""
        self.network.declare_service(self.current_service(organisation))

    def start_balancer(self) -> None:
        """Start one more balancer under a new name."""
        self._n_balancers += 1
        self.network.start_balancer(f"b{self._n_balancers}")

    def pick_balancer(self) -> str:
        """Return a running balancer that is not paused."""
        running = [
            name for name in self.network.cores if name not in self.network.paused
        ]
        return self.random.choice(running)

    def _run_episode(self) -> None:
        chosen_faults = self.random.sample(FAULTS, self.random.choice((1, 1, 2)))
        may_break_flows = any(fault.may_break_flows for fault in chosen_faults)
        n_replica_loss_faults = sum(
            fault.name in REPLICA_LOSS_FAULTS for fault in chosen_faults
        )
        n_broken_before = len(self.network.broken_flows)
        n_content_before = self.network.stats["content_at_two_servers"]
        start_steps = sorted(
            self.random.randrange(N_EPISODE_STEPS // 2) for _ in chosen_faults
        )
        for step in range(N_EPISODE_STEPS):
            while start_steps and start_steps[0] <= step:
                start_steps.pop(0)
                fault = chosen_faults[len(chosen_faults) - len(start_steps) - 1]
                self.result.n_injected_by_fault[fault.name] += 1
                fault.inject(self)
            self._step()
        self._end_faults()
        self.result.n_episodes += 1
        broken = self.network.broken_flows[n_broken_before:]
        if may_break_flows or n_replica_loss_faults > 1:
            self.result.n_broken_expected += len(broken)
            return
        names = "+".join(fault.name for fault in chosen_faults)
        self.result.broken_flows.extend(f"{names}: {line}" for line in broken)
        n_content = self.network.stats["content_at_two_servers"] - n_content_before
        self.result.n_content_at_two_servers += n_content

    def _step(self) -> None:
        for organisation in self._services:
            if self.random.random() < 0.25:
                n_packets = self.random.choice((2, 3, 5, 40))
                interval_millis = self.random.choice((20, 80))
                self.network.open_flow(
                    self.current_service(organisation),
                    n_packets=n_packets,
                    interval_millis=interval_millis,
                )
        self._advance(STEP_MILLIS)
        self.result.n_steps += 1

    def _advance(self, duration: Millis) -> None:
        before = self.network.now // PROBE_PERIOD_MILLIS
        self.network.run(duration)
        if self.network.now // PROBE_PERIOD_MILLIS != before:
            self.network.probe_servers()
            self._count_reverts()

    def _count_reverts(self) -> None:
        """Count balancers that went back to an older configuration."""
        for name, core in self.network.cores.items():
            incarnation = id(core)
            seen = self._seen_revisions.get(name)
            is_same_incarnation = seen is not None and seen[0] == incarnation
            if is_same_incarnation and core.config_revision < seen[1]:
                self.result.n_config_reverts += 1
            self._seen_revisions[name] = (incarnation, core.config_revision)

    def _end_faults(self) -> None:
        """End all faults, wait until all flows have ended and check convergence."""
        self.network.clear_link_faults()
        self.network.duplicate_opening_probability = 0.0
        for name in list(self.network.paused):
            self.network.resume_balancer(name)
        for address, server in self.network.servers.items():
            if not server.is_alive:
                self.network.restart_server(address)
        self.network.config_delays_millis.clear()
        while len(self.network.cores) < MIN_BALANCERS:
            self.start_balancer()
        for organisation in self._services:
            if self.draining.pop(organisation, None):
                self.declare(organisation)
        deadline = self.network.now + SETTLE_TIMEOUT_MILLIS
        self._advance(12_000)
        while self._is_unsettled() and self.network.now < deadline:
            self._advance(500)
        self._check_convergence()
        self.network.remove_ended_flows()

    def _is_unsettled(self) -> bool:
        is_open = any(
            flow.state in ("opening", "open") for flow in self.network.flows.values()
        )
        return is_open or not all(core.is_ready for core in self.network.cores.values())

    def _check_convergence(self) -> None:
        """Check that balancers agree after all faults have ended.

        Raises
        ------
        InvariantViolated
            If a balancer is not ready, has an older configuration, or disagrees on
            shard owners or buckets.
        """
        cores = list(self.network.cores.values())
        for core in cores:
            if not core.is_ready:
                raise InvariantViolated(
                    f"{core.identity.member} is not ready after recovery"
                )
            if core.config_revision != self.network.revision:
                raise InvariantViolated(
                    f"{core.identity.member} has an older configuration after recovery"
                )
        owners = [[row.owner for row in core.tables.shards] for core in cores]
        if any(other != owners[0] for other in owners):
            raise InvariantViolated("balancers disagree on shard owners after recovery")
        for service in cores[0].tables.services:
            self._check_buckets(service)

    def _check_buckets(self, service: str) -> None:
        cores = list(self.network.cores.values())
        tables = [core.tables.services[service].buckets for core in cores]
        for shard, buckets in enumerate(zip(*tables, strict=True)):
            states = {
                (bucket.precedence, bucket.tracked, bucket.base)
                for bucket in buckets
                if bucket is not None
            }
            if len(states) > 1:
                raise InvariantViolated(
                    f"{service} shard {shard}: balancers disagree: {states}"
                )


def _kill_balancer(run: SoakRun) -> None:
    if len(run.network.cores) - len(run.network.paused) > 2:
        run.network.kill_balancer(run.pick_balancer())


def _join_balancer(run: SoakRun) -> None:
    if len(run.network.cores) < MAX_BALANCERS:
        run.start_balancer()


def _leave_balancer(run: SoakRun) -> None:
    if len(run.network.cores) - len(run.network.paused) <= 3:
        run.start_balancer()
    name = run.pick_balancer()
    run.network.cores[name].leave()

    def stop() -> None:
        core = run.network.cores.get(name)
        if core is None or name in run.network.paused:
            return
        if core.may_stop:
            core.announce_departure()
            run.network.execute_outputs(name)
            run.network.kill_balancer(name)
        else:
            run.network.schedule(500, stop)

    run.network.schedule(3_000, stop)


def _pause_balancer(run: SoakRun) -> None:
    if len(run.network.cores) - len(run.network.paused) > 2:
        name = run.pick_balancer()
        run.network.pause_balancer(name)
        duration = run.random.choice((300, 1_500, 6_000))
        run.network.schedule(duration, lambda: run.network.resume_balancer(name))


def _drain_servers(run: SoakRun) -> None:
    organisation = run.random.choice(("tanglaw", "ferreyra"))
    name = {"tanglaw": "lookup", "ferreyra": "aula-core"}[organisation]
    n_drained = run.random.choice((1, 1, 3))
    chosen = run.random.sample(range(1, 8), n_drained)
    run.draining[organisation] = frozenset(f"{name}-{number}" for number in chosen)
    run.declare(organisation)
    if run.random.random() < 0.5:
        run.network.schedule(
            run.random.choice((500, 3_000)), lambda: _activate_servers(run)
        )


def _activate_servers(run: SoakRun) -> None:
    for organisation in list(run.draining):
        del run.draining[organisation]
        run.declare(organisation)


def _degrade_links(run: SoakRun) -> None:
    run.network.link_faults = LinkFaults(
        loss=0.1, duplicate=0.2, max_extra_delay_millis=50
    )


def _delay_configuration(run: SoakRun) -> None:
    run.network.config_delays_millis[run.pick_balancer()] = 10_000
    _drain_servers(run)


def _duplicate_openings(run: SoakRun) -> None:
    run.network.duplicate_opening_probability = 0.5
    _drain_servers(run)


def _partition_balancer(run: SoakRun) -> None:
    name = run.pick_balancer()
    for other in run.network.cores:
        if other != name:
            run.network.partition(name, other)


def _kill_server(run: SoakRun) -> None:
    host = run.random.choice((1, 101)) + run.random.randrange(7)
    run.network.kill_server((f"127.0.0.{host}", SERVER_PORT))


FAULTS = (
    Fault("balancer joins", _join_balancer),
    Fault("balancer leaves", _leave_balancer),
    Fault("balancer dies", _kill_balancer),
    Fault("balancer pauses", _pause_balancer),
    Fault("servers drain", _drain_servers),
    Fault("bad links", _degrade_links),
    Fault("late configuration", _delay_configuration),
    Fault("repeated openings", _duplicate_openings),
    Fault("balancer cut off", _partition_balancer, may_break_flows=True),
    Fault("server dies", _kill_server, may_break_flows=True),
)

REPLICA_LOSS_FAULTS = frozenset({"balancer dies", "balancer pauses"})
"""Faults of which two at once can lose both replicas of a record."""
