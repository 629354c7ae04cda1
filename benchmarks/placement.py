"""Ways to place flows on the same seeded traces: what breaks and what it costs.

Five balancers serve one organisation's two services, through a drain, a leave,
a join, a return and a death. The trace is scaled down from the target rates so
that it runs packet by packet in one process.
"""

import argparse
import functools
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.baselines import FlowOwner, HashOnly, Oracle, OwnTable
from stoattray_balancer.wire import message_size
from stoattray_core import Core
from stoattray_core.resources import ServiceModel
from stoattray_standin.deployments import service_model
from stoattray_standin.memory import MemoryNetwork

SEAL_BYTES = 30
N_BALANCERS = 5
STEP = 50
REST = 10_000
IDLE_LIMIT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """Two services: one of short flows, one of long ones."""

    name: str
    short: str
    n_short: int
    long: str
    n_long: int


ORGANISATIONS = (
    Organisation("tanglaw", "lookup", 7, "archive", 3),
    Organisation("ferreyra", "aula-core", 7, "aula-video", 4),
)

Factory = Callable[..., Core]


def ways() -> dict[str, tuple[Factory | None, str]]:
    """Return a core factory and a policy for each way."""

    def baseline(kind: type[HashOnly]) -> Factory:
        return functools.partial(kind, oracle=Oracle())

    return {
        "hash": (baseline(HashOnly), "continuity"),
        "own_table": (baseline(OwnTable), "continuity"),
        "flow_owner": (baseline(FlowOwner), "continuity"),
        "buckets": (None, "continuity"),
        "buckets_counted": (None, "balance"),
    }


class Trace:
    """One way on one organisation's trace."""

    def __init__(
        self,
        organisation: Organisation,
        factory: Factory | None,
        policy: str,
        seed: int,
        flows_per_second: int,
    ) -> None:
        self._organisation = organisation
        self._policy = policy
        self._per_step = flows_per_second * STEP / 1_000
        self._due = 0.0
        self._ratios: dict[str, list[float]] = {"short": [], "long": []}
        self.net = MemoryNetwork(seed)
        if factory is not None:
            self.net.build_core = factory
        self.net.message_bytes = lambda message: message_size(message) + SEAL_BYTES
        for number in range(N_BALANCERS):
            self.net.start(f"b{number}")
        self.declare(frozenset())
        self.net.run(6_000)

    def services(self, draining: frozenset[str]) -> tuple[ServiceModel, ServiceModel]:
        """Return the two services as declared."""
        shared = {
            "policy": self._policy,
            "idle_limit_seconds": IDLE_LIMIT_SECONDS,
            "draining": draining,
        }
        organisation = self._organisation
        return (
            service_model(
                organisation.name,
                organisation.short,
                address="192.0.2.1",
                n_servers=organisation.n_short,
                **shared,
            ),
            service_model(
                organisation.name,
                organisation.long,
                address="192.0.2.2",
                n_servers=organisation.n_long,
                first_host=51,
                **shared,
            ),
        )

    def declare(self, draining: frozenset[str]) -> None:
        """Declare both services."""
        self.current = self.services(draining)
        for service in self.current:
            self.net.declare(service)

    def load(self, duration: int) -> None:
        """Open flows for a while and sample the imbalance."""
        end = self.net.now + duration
        short, long = self.current
        while self.net.now < end:
            self._due += self._per_step
            while self._due >= 1:
                self._due -= 1
                if self.net.random.random() < 0.8:
                    self.net.open_flow(short, n_packets=4, interval=150)
                else:
                    self.net.open_flow(long, n_packets=60, interval=400)
            self.net.run(STEP)
            self._sample("short", short)
            self._sample("long", long)

    def run(self) -> None:
        """Run every change of the trace."""
        short = self._organisation.short
        long = self._organisation.long
        self.load(REST)
        self.declare(frozenset({f"{short}-1", f"{long}-1"}))
        self.load(15_000)
        self.net.cores["b1"].leave()
        self.load(4_000)
        self.net.kill("b1")
        self.load(3_000)
        self.net.start("b9")
        self.load(8_000)
        self.declare(frozenset())
        self.load(12_000)

    def kill_balancer(self) -> None:
        """Let one balancer die."""
        if isinstance(self.net.cores["b2"], HashOnly):
            self.net.cores["b2"].leave()
        self.net.kill("b2")
        self.load(6_000)
        self.net.run(40_000)

    def imbalance(self, kind: str) -> tuple[float, float]:
        """Return mean and 99th percentile of max/mean of open flows."""
        ratios = sorted(self._ratios[kind])
        return statistics.mean(ratios), ratios[int(len(ratios) * 0.99)]

    def clear_samples(self) -> None:
        """Forget imbalance samples."""
        for ratios in self._ratios.values():
            ratios.clear()

    def _sample(self, kind: str, service: ServiceModel) -> None:
        active = [
            item.name
            for item in service.spec.backend_servers
            if item.state.value == "active"
        ]
        counts = self.net.open_counts(service)
        values = [counts[name] for name in active]
        mean = sum(values) / len(values)
        if mean > 0:
            self._ratios[kind].append(max(values) / mean)


def measure(
    organisation: Organisation,
    name: str,
    factory: Factory | None,
    policy: str,
    seed: int,
    rate: int,
) -> None:
    """Run one way and print its figures."""
    trace = Trace(organisation, factory, policy, seed, rate)
    prefix = f"placement_{organisation.name}_{rate}_{name}"
    stats = trace.net.stats
    trace.load(10_000)
    trace.clear_samples()
    trace.net.sent_bytes.clear()
    packets, relayed = stats["packets"], stats["relayed"]
    trace.load(REST)
    seconds = REST / 1_000
    rest_sent = sum(trace.net.sent_bytes.values()) / N_BALANCERS / seconds
    rest_relayed = (stats["relayed"] - relayed) / (stats["packets"] - packets)
    figures = [
        (f"{prefix}_imbalance_{kind}_{word}", value, "max/mean")
        for kind in ("short", "long")
        for word, value in zip(("mean", "p99"), trace.imbalance(kind), strict=True)
    ]
    trace.net.sent_bytes.clear()
    started = time.process_time()
    began = trace.net.now
    packets = stats["packets"]
    trace.run()
    spent = time.process_time() - started
    change_seconds = (trace.net.now - began) / 1_000
    change_sent = sum(trace.net.sent_bytes.values()) / N_BALANCERS / change_seconds
    planned = stats["broken"]
    trace.kill_balancer()
    print(f"{prefix}_flows {stats['flows']} flows")
    print(f"{prefix}_broken_planned {planned} flows")
    print(f"{prefix}_broken_death {stats['broken'] - planned} flows")
    for figure, value, unit in figures:
        print(f"{figure} {value:.3f} {unit}")
    print(f"{prefix}_rest_relayed {100 * rest_relayed:.2f} %")
    print(f"{prefix}_rest_sent {rest_sent:.0f} bytes/s/node")
    print(f"{prefix}_change_sent {change_sent:.0f} bytes/s/node")
    per_packet = spent / (stats["packets"] - packets) * 1e6
    print(f"{prefix}_simulated {per_packet:.1f} us/packet_all_in", flush=True)


def main() -> None:
    """Print the table of figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", help="one way")
    parser.add_argument("--rates", default="20,200", help="flows a second")
    arguments = parser.parse_args()
    for rate in arguments.rates.split(","):
        for organisation in ORGANISATIONS:
            for name, (factory, policy) in ways().items():
                if arguments.only not in (None, name):
                    continue
                measure(organisation, name, factory, policy, arguments.seed, int(rate))


if __name__ == "__main__":
    main()
