"""Broken flows and cost of placement strategies on the same seeded traces.

Five balancers serve the two services of an organisation. The trace drains backend
servers, lets a balancer leave, starts a new one, returns the servers to service and
kills a balancer. Its rates are below the target rates, so that it runs packet by
packet in one process.
"""

import argparse
import functools
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.baselines import (
    FlowOwnerBalancer,
    FlowTableBalancer,
    HashBalancer,
    SharedState,
)
from stoattray_balancer.wire_format import message_size
from stoattray_core import Core
from stoattray_core.resources import ServiceModel
from stoattray_standin.services import build_service
from stoattray_standin.simulated_network import SimulatedNetwork

ENCRYPTION_OVERHEAD_BYTES = 30  # header, nonce and tag of a message between balancers
N_BALANCERS = 5
STEP_MILLIS = 50
STEADY_MILLIS = 10_000
IDLE_LIMIT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with one service of short flows and one of long flows.

    Parameters
    ----------
    name : str
        Name of the organisation.
    short_service, long_service : str
        Names of the services.
    n_short_servers, n_long_servers : int
        Numbers of their backend servers.
    """

    name: str
    short_service: str
    n_short_servers: int
    long_service: str
    n_long_servers: int


ORGANISATIONS = (
    Organisation("tanglaw", "lookup", 7, "archive", 3),
    Organisation("ferreyra", "aula-core", 7, "aula-video", 4),
)

CoreFactory = Callable[..., Core]


def strategies() -> dict[str, tuple[CoreFactory | None, str]]:
    """Return the core factory and the policy of each strategy."""

    def baseline(kind: type[HashBalancer]) -> CoreFactory:
        return functools.partial(kind, shared=SharedState())

    return {
        "hash": (baseline(HashBalancer), "continuity"),
        "own_table": (baseline(FlowTableBalancer), "continuity"),
        "flow_owner": (baseline(FlowOwnerBalancer), "continuity"),
        "buckets": (None, "continuity"),
        "buckets_counted": (None, "balance"),
    }


class PlacementRun:
    """Simulation of one strategy on the trace of one organisation.

    Parameters
    ----------
    organisation : Organisation
        Services under load.
    factory : callable or None
        Builds the balancers of a baseline; None for `Core`.
    policy : str
        Placement policy of the services.
    seed : int
        Seed of the network and the load.
    flows_per_second : int
        Rate of new flows.
    """

    def __init__(
        self,
        organisation: Organisation,
        factory: CoreFactory | None,
        policy: str,
        seed: int,
        flows_per_second: int,
    ) -> None:
        self._organisation = organisation
        self._policy = policy
        self._flows_per_step = flows_per_second * STEP_MILLIS / 1_000
        self._flows_due = 0.0
        self._imbalances: dict[str, list[float]] = {"short": [], "long": []}
        self.network = SimulatedNetwork(seed)
        if factory is not None:
            self.network.core_factory = factory
        self.network.measure_message = lambda message: (
            message_size(message) + ENCRYPTION_OVERHEAD_BYTES
        )
        for number in range(N_BALANCERS):
            self.network.start_balancer(f"b{number}")
        self.declare(frozenset())
        self.network.run(6_000)

    def build_services(
        self, draining: frozenset[str]
    ) -> tuple[ServiceModel, ServiceModel]:
        """Return both services with some backend servers draining."""
        shared = {
            "policy": self._policy,
            "idle_limit_seconds": IDLE_LIMIT_SECONDS,
            "draining": draining,
        }
        organisation = self._organisation
        return (
            build_service(
                organisation.name,
                organisation.short_service,
                address="192.0.2.1",
                n_servers=organisation.n_short_servers,
                **shared,
            ),
            build_service(
                organisation.name,
                organisation.long_service,
                address="192.0.2.2",
                n_servers=organisation.n_long_servers,
                first_host=51,
                **shared,
            ),
        )

    def declare(self, draining: frozenset[str]) -> None:
        """Declare both services with some backend servers draining."""
        self.declared_services = self.build_services(draining)
        for service in self.declared_services:
            self.network.declare_service(service)

    def run_load(self, duration_millis: int) -> None:
        """Open flows for a number of milliseconds and sample the imbalance."""
        end = self.network.now + duration_millis
        short, long = self.declared_services
        while self.network.now < end:
            self._flows_due += self._flows_per_step
            while self._flows_due >= 1:
                self._flows_due -= 1
                if self.network.random.random() < 0.8:
                    self.network.open_flow(short, n_packets=4, interval_millis=150)
                else:
                    self.network.open_flow(long, n_packets=60, interval_millis=400)
            self.network.run(STEP_MILLIS)
            self._sample("short", short)
            self._sample("long", long)

    def run_changes(self) -> None:
        """Run the planned changes of the trace under load."""
        short = self._organisation.short_service
        long = self._organisation.long_service
        self.run_load(STEADY_MILLIS)
        self.declare(frozenset({f"{short}-1", f"{long}-1"}))
        self.run_load(15_000)
        self.network.cores["b1"].leave()
        self.run_load(4_000)
        self.network.kill_balancer("b1")
        self.run_load(3_000)
        self.network.start_balancer("b9")
        self.run_load(8_000)
        self.declare(frozenset())
        self.run_load(12_000)

    def kill_balancer(self) -> None:
        """Kill one balancer under load, then run without new flows."""
        if isinstance(self.network.cores["b2"], HashBalancer):
            self.network.cores["b2"].leave()
        self.network.kill_balancer("b2")
        self.run_load(6_000)
        self.network.run(40_000)

    def imbalance(self, kind: str) -> tuple[float, float]:
        """Return mean and 99th percentile of the ratio max/mean of open flows."""
        imbalances = sorted(self._imbalances[kind])
        return statistics.mean(imbalances), imbalances[int(len(imbalances) * 0.99)]

    def clear_samples(self) -> None:
        """Clear the imbalance samples."""
        for imbalances in self._imbalances.values():
            imbalances.clear()

    def _sample(self, kind: str, service: ServiceModel) -> None:
        active_servers = [
            item.name
            for item in service.spec.backend_servers
            if item.state.value == "active"
        ]
        counts = self.network.count_open_flows(service)
        open_flows = [counts[name] for name in active_servers]
        mean = sum(open_flows) / len(open_flows)
        if mean > 0:
            self._imbalances[kind].append(max(open_flows) / mean)


def measure(
    organisation: Organisation,
    name: str,
    factory: CoreFactory | None,
    policy: str,
    seed: int,
    flows_per_second: int,
) -> None:
    """Run one strategy and print its figures."""
    placement_run = PlacementRun(organisation, factory, policy, seed, flows_per_second)
    prefix = f"placement_{organisation.name}_{flows_per_second}_{name}"
    stats = placement_run.network.stats
    placement_run.run_load(10_000)
    placement_run.clear_samples()
    placement_run.network.n_bytes_sent.clear()
    packets, relayed = stats["packets"], stats["relayed"]
    placement_run.run_load(STEADY_MILLIS)
    seconds = STEADY_MILLIS / 1_000
    steady_bytes_per_second = (
        sum(placement_run.network.n_bytes_sent.values()) / N_BALANCERS / seconds
    )
    steady_relayed_share = (stats["relayed"] - relayed) / (stats["packets"] - packets)
    figures = [
        (f"{prefix}_imbalance_{kind}_{statistic}", value, "max/mean")
        for kind in ("short", "long")
        for statistic, value in zip(
            ("mean", "p99"), placement_run.imbalance(kind), strict=True
        )
    ]
    placement_run.network.n_bytes_sent.clear()
    processor_started = time.process_time()
    started_at_millis = placement_run.network.now
    packets = stats["packets"]
    placement_run.run_changes()
    processor_seconds = time.process_time() - processor_started
    change_seconds = (placement_run.network.now - started_at_millis) / 1_000
    change_bytes_per_second = (
        sum(placement_run.network.n_bytes_sent.values()) / N_BALANCERS / change_seconds
    )
    n_broken_planned = stats["broken"]
    placement_run.kill_balancer()
    print(f"{prefix}_flows {stats['flows']} flows")
    print(f"{prefix}_broken_planned {n_broken_planned} flows")
    print(f"{prefix}_broken_death {stats['broken'] - n_broken_planned} flows")
    for figure, value, unit in figures:
        print(f"{figure} {value:.3f} {unit}")
    print(f"{prefix}_rest_relayed {100 * steady_relayed_share:.2f} %")
    print(f"{prefix}_rest_sent {steady_bytes_per_second:.0f} bytes/s/node")
    print(f"{prefix}_change_sent {change_bytes_per_second:.0f} bytes/s/node")
    micros_per_packet = processor_seconds / (stats["packets"] - packets) * 1e6
    print(f"{prefix}_simulated {micros_per_packet:.1f} us/packet_all_in", flush=True)


def main() -> None:
    """Print the figures of all strategies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", help="run this strategy only")
    parser.add_argument(
        "--rates", default="20,200", help="new flows per second, separated by commas"
    )
    arguments = parser.parse_args()
    for rate in arguments.rates.split(","):
        for organisation in ORGANISATIONS:
            for name, (factory, policy) in strategies().items():
                if arguments.only not in (None, name):
                    continue
                measure(organisation, name, factory, policy, arguments.seed, int(rate))


if __name__ == "__main__":
    main()
