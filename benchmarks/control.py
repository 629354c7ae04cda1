"""Cost of the control plane: bytes, processor time, memory, platform calls, delays.

``python benchmarks/control.py processes --sizes 4,8,16,32`` runs real processes on
loopback. ``python benchmarks/control.py cores`` runs cores in one process over the
simulated network, which allows more balancers and more services.
"""

import argparse
import gc
import signal
import socket
import statistics
import time
import tracemalloc
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import psutil

from stoattray_balancer._prober import Prober
from stoattray_balancer.wire_format import message_size
from stoattray_core import Core, CoreSettings, Identity, MemberId
from stoattray_core.configuration import ConfigEntry
from stoattray_core.messages import BucketUpdate
from stoattray_core.resources import ServiceModel
from stoattray_standin.local_system import LocalSystem, local_system
from stoattray_standin.services import build_service
from stoattray_standin.simulated_network import SimulatedNetwork

ENCRYPTION_OVERHEAD_BYTES = 30  # header, nonce and tag of a message between balancers
IDLE_SECONDS = 20.0
N_CHANGES = 20
N_PROBES = 500
N_DATA_CENTRES = 3
TICK_MILLIS = 20
SETTLE_MILLIS = 60_000
MILLIS_PER_SECOND = 1_000
DEATH_DETECTION_TIMEOUT_SECONDS = 30.0


def print_figure(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.6g} {unit}", flush=True)


def current_services() -> list[ServiceModel]:
    """Return the four services in use, without health probes."""
    definitions = (
        ("tanglaw", "lookup", 10, 7, "continuity"),
        ("tanglaw", "archive", 11, 3, "continuity"),
        ("ferreyra", "aula-core", 20, 7, "balance"),
        ("ferreyra", "aula-video", 21, 4, "balance"),
    )
    return [
        build_service(
            organisation,
            name,
            address=f"192.0.2.{last_octet}",
            n_servers=n_servers,
            policy=policy,
            first_host=last_octet * 10,
            health_port=None,
        )
        for organisation, name, last_octet, n_servers, policy in definitions
    ]


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals over all balancers at one point in time.

    Parameters
    ----------
    taken_at : float
        Monotonic time in seconds.
    processor_seconds : float
        User and system time of all balancers.
    sent_bytes : int
        Bytes of messages that the balancers sent to each other.
    n_platform_calls : int
        Calls that the platform received.
    """

    taken_at: float
    processor_seconds: float
    sent_bytes: int
    n_platform_calls: int


class ProcessBenchmark:
    """Measurements on one system of real processes.

    Parameters
    ----------
    system : LocalSystem
        System that starts and stops the processes.
    n_balancers : int
        Number of balancers.
    """

    def __init__(self, system: LocalSystem, n_balancers: int) -> None:
        self._system = system
        self._names = [f"b{number:03d}" for number in range(n_balancers)]
        self._prefix = f"control_{n_balancers}_balancers"
        self._n_balancers = n_balancers

    def run(self) -> None:
        """Measure idle cost, configuration changes and the death of a balancer."""
        self._start()
        time.sleep(8.0)
        self._measure_idle()
        self._measure_changes()
        self._measure_death()

    def _start(self) -> None:
        self._system.start_platform()
        for name in self._names:
            self._system.add_balancer(name)
        started_at = time.monotonic()
        for index, name in enumerate(self._names):
            self._system.start_balancer(name, f"dc{index % N_DATA_CENTRES}")
        self._system.wait_until_ready(self._names)
        print_figure(f"{self._prefix}_start", time.monotonic() - started_at, "s")
        client = self._system.balancers[self._names[0]].create_client()
        for service in current_services():
            client.put_service(service.model_dump(mode="json"), 0)

    def _sample(self) -> Sample:
        processor_seconds = 0.0
        sent_bytes = 0
        for name in self._names:
            balancer = self._system.balancers[name]
            times = psutil.Process(balancer.process.pid).cpu_times()
            processor_seconds += times.user + times.system
            sent_bytes += balancer.get_counters().get("peer_bytes_sent", 0)
        return Sample(
            time.monotonic(),
            processor_seconds,
            sent_bytes,
            self._system.count_platform_calls(),
        )

    def _measure_idle(self) -> None:
        before = self._sample()
        time.sleep(IDLE_SECONDS)
        after = self._sample()
        seconds = after.taken_at - before.taken_at
        percent = (
            (after.processor_seconds - before.processor_seconds)
            / seconds
            / self._n_balancers
            * 100
        )
        print_figure(f"{self._prefix}_rest_processor", percent, "%_of_a_core")
        sent_per_second = (
            (after.sent_bytes - before.sent_bytes) / seconds / self._n_balancers
        )
        print_figure(f"{self._prefix}_rest_sent", sent_per_second, "bytes/s/node")
        calls_per_second = (after.n_platform_calls - before.n_platform_calls) / seconds
        print_figure(f"{self._prefix}_rest_platform_calls", calls_per_second, "calls/s")
        memory_bytes = [
            psutil.Process(self._system.balancers[name].process.pid).memory_info().rss
            for name in self._names
        ]
        print_figure(f"{self._prefix}_memory", max(memory_bytes) / 1e6, "MB")

    def _measure_changes(self) -> None:
        client = self._system.balancers[self._names[0]].create_client()
        last_client = self._system.balancers[self._names[-1]].create_client()
        before = self._sample()
        delays_seconds: list[float] = []
        for number in range(N_CHANGES):
            state = "draining" if number % 2 == 0 else "active"
            response = client.set_server_state("tanglaw", "archive", "archive-1", state)
            accepted_at = time.monotonic()
            report = last_client.get_status(int(response["revision"]), 15.0)
            if not report["in_force"]:
                raise TimeoutError(f"revision is not in force: {report}")
            delays_seconds.append(time.monotonic() - accepted_at)
        time.sleep(4.0)
        after = self._sample()
        print_figure(
            f"{self._prefix}_in_force_p50", statistics.median(delays_seconds), "s"
        )
        print_figure(f"{self._prefix}_in_force_max", max(delays_seconds), "s")
        sent_per_change = (
            (after.sent_bytes - before.sent_bytes) / self._n_balancers / N_CHANGES
        )
        print_figure(
            f"{self._prefix}_change_sent", sent_per_change, "bytes/change/node"
        )
        processor_seconds = (
            (after.processor_seconds - before.processor_seconds)
            / self._n_balancers
            / N_CHANGES
        )
        print_figure(
            f"{self._prefix}_change_processor",
            processor_seconds * 1e3,
            "ms/change/node",
        )

    def _measure_death(self) -> None:
        victim = self._names[-1]
        clients = [
            self._system.balancers[name].create_client() for name in self._names[:-1]
        ]
        killed_at = time.monotonic()
        self._system.signal_balancer(victim, signal.SIGKILL)
        for client in clients:
            while victim not in client.get_status()["unreachable"]:
                if time.monotonic() - killed_at > DEATH_DETECTION_TIMEOUT_SECONDS:
                    raise TimeoutError(
                        f"{victim} was not detected as dead by all balancers"
                    )
                time.sleep(0.05)
        print_figure(f"{self._prefix}_death_known", time.monotonic() - killed_at, "s")


def measure_processes(sizes: Iterable[int]) -> None:
    """Measure systems of real processes one after another."""
    for size in sizes:
        with local_system() as system:
            ProcessBenchmark(system, size).run()


def measure_group(n_balancers: int) -> None:
    """Measure a group of cores in one process, with one service."""
    network = SimulatedNetwork(1)
    network.measure_message = lambda message: (
        message_size(message) + ENCRYPTION_OVERHEAD_BYTES
    )
    started_at = time.process_time()
    for number in range(n_balancers):
        network.start_balancer(f"b{number:03d}")
    service = build_service("tanglaw", "lookup", address="192.0.2.10", n_servers=7)
    network.declare_service(service)
    network.run(SETTLE_MILLIS)
    prefix = f"cores_{n_balancers}_members"
    n_ready = sum(core.is_ready for core in network.cores.values())
    print_figure(f"{prefix}_ready", n_ready, "balancers")
    network.n_bytes_sent.clear()
    started_at = time.process_time()
    network.run(10_000)
    processor_seconds = time.process_time() - started_at
    idle_bytes_per_second = sum(network.n_bytes_sent.values()) / n_balancers / 10
    print_figure(f"{prefix}_rest_sent", idle_bytes_per_second, "bytes/s/node")
    print_figure(
        f"{prefix}_rest_processor",
        processor_seconds / n_balancers / 10 * 100,
        "%_of_a_core",
    )
    network.n_bytes_sent.clear()
    revision = network.declare_service(
        build_service(
            "tanglaw",
            "lookup",
            address="192.0.2.10",
            n_servers=7,
            draining=frozenset({"lookup-1"}),
        )
    )
    declared_at_millis = network.now
    while min(core.config_revision for core in network.cores.values()) < revision:
        network.run(10)
    print_figure(
        f"{prefix}_in_force",
        (network.now - declared_at_millis) / MILLIS_PER_SECOND,
        "s",
    )
    network.run(10_000)
    change_bytes = (
        sum(network.n_bytes_sent.values()) / n_balancers - 10 * idle_bytes_per_second
    )
    print_figure(f"{prefix}_drain_sent", change_bytes, "bytes/change/node")
    _measure_group_death(network, prefix)


def _measure_group_death(network: SimulatedNetwork, prefix: str) -> None:
    victim = list(network.cores)[-1]
    network.n_bytes_sent.clear()
    network.kill_balancer(victim)
    killed_at_millis = network.now
    while any(
        core.tables.members[victim].is_present
        for core in network.cores.values()
        if victim in core.tables.members
    ):
        network.run(50)
    print_figure(
        f"{prefix}_death_known",
        (network.now - killed_at_millis) / MILLIS_PER_SECOND,
        "s",
    )
    network.run(5_000)
    seconds = (network.now - killed_at_millis) / MILLIS_PER_SECOND
    sent_bytes = sum(network.n_bytes_sent.values()) / len(network.cores)
    print_figure(f"{prefix}_death_sent", sent_bytes / seconds, "bytes/s/node")


def measure_services(n_services: int) -> None:
    """Measure one core that owns every shard of many services."""
    identity = Identity(MemberId("b1"), "127.0.0.1", 1, 2, 3, "dc1", 1)
    entries: list[ConfigEntry] = []
    for number in range(n_services):
        service = build_service(
            "o1",
            f"s{number}",
            address=f"192.0.{2 + number // 250}.{number % 250 + 1}",
            n_servers=9,
        )
        entries.append(
            ConfigEntry(f"services/{service.service}", 1, service.model_dump_json())
        )
        entries.append(
            ConfigEntry(f"addresses/{service.spec.key:x}", 1, service.service)
        )
    gc.collect()
    tracemalloc.start()
    core = Core(identity, seeds=(), settings=CoreSettings(), random=Random(1), now=0)
    started_at = time.process_time()
    core.on_config(0, 1, entries)
    loading_seconds = time.process_time() - started_at
    for now in range(0, 4_000, TICK_MILLIS):
        core.tick(now)
        core.take_outputs()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    prefix = f"cores_{n_services}_services"
    print_figure(f"{prefix}_memory", memory_bytes / 1e6, "MB")
    print_figure(
        f"{prefix}_load", loading_seconds / n_services * 1e3, "ms/service_traced"
    )
    n_ticks = 500
    started_at = time.process_time()
    for number in range(n_ticks):
        core.tick(4_000 + number * TICK_MILLIS)
        core.take_outputs()
    processor_seconds = time.process_time() - started_at
    print_figure(f"{prefix}_tick", processor_seconds / n_ticks * 1e6, "us/tick")
    percent = processor_seconds / (n_ticks * TICK_MILLIS / MILLIS_PER_SECOND) * 100
    print_figure(f"{prefix}_rest_processor", percent, "%_of_a_core")


def measure_change_cost() -> None:
    """Measure the processor time of a changed service and the size of its entry."""
    identity = Identity(MemberId("b1"), "127.0.0.1", 1, 2, 3, "dc1", 1)
    core = Core(identity, seeds=(), settings=CoreSettings(), random=Random(1), now=0)
    n_changes = 50
    started_at = time.process_time()
    for revision in range(1, n_changes + 1):
        service = build_service("o1", "s1", address="192.0.2.1", n_servers=9)
        entry = ConfigEntry("services/o1/s1", revision, service.model_dump_json())
        core.on_config(revision - 1, revision, [entry])
    processor_seconds = time.process_time() - started_at
    print_figure(
        "core_change_processor", processor_seconds / n_changes * 1e3, "ms/change"
    )
    print_figure("core_entry_size", len(service.model_dump_json()), "bytes/service")


def measure_probes() -> None:
    """Measure the processor time of one health probe."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(N_PROBES)
        address = listener.getsockname()
        prober = Prober(None, period_seconds=1.0, timeout_seconds=1.0)
        started_at = time.process_time()
        n_up = sum(prober.can_connect(address) for _ in range(N_PROBES))
        processor_seconds = time.process_time() - started_at
    print_figure("probe_processor", processor_seconds / n_up * 1e3, "ms/probe")


def measure_messages() -> None:
    """Measure the size of messages and of the items in them."""
    from stoattray_core.messages import BucketState, FlowGroup, MemberState, Ping

    empty_message_bytes = message_size(BucketUpdate(1, [], [], []))
    bucket = BucketState(
        "organisation/service", 100, 5, 7, True, "lookup-1@127.0.0.1:9000"
    )
    bucket_message_bytes = message_size(BucketUpdate(1, [], [bucket], []))
    print_figure(
        "message_bucket", bucket_message_bytes - empty_message_bytes, "bytes/bucket"
    )
    group = FlowGroup(
        "organisation/service", 100, "lookup-1@127.0.0.1:9000", b"x" * 6_000
    )
    flow_message_bytes = message_size(BucketUpdate(1, [], [], [group]))
    print_figure(
        "message_flow", (flow_message_bytes - empty_message_bytes) / 1_000, "bytes/flow"
    )
    member = MemberState(
        "b1000", "10.10.10.10", 7000, 7001, 7443, "dc1", 1 << 40, 1, 1 << 20
    )
    ping_bytes = message_size(Ping(1, 1, 1, []))
    print_figure("message_ping", ping_bytes + ENCRYPTION_OVERHEAD_BYTES, "bytes/ping")
    print_figure(
        "message_member",
        message_size(Ping(1, 1, 1, [member])) - ping_bytes,
        "bytes/member",
    )


def main() -> None:
    """Print the figures of real processes or of cores."""
    parser = argparse.ArgumentParser(description=__doc__)
    subparsers = parser.add_subparsers(dest="kind", required=True)
    processes = subparsers.add_parser("processes")
    processes.add_argument("--sizes", default="4,8,16,32")
    cores = subparsers.add_parser("cores")
    cores.add_argument("--members", default="8,32,64,128,233")
    cores.add_argument("--services", default="4,61,122,244")
    arguments = parser.parse_args()
    if arguments.kind == "processes":
        measure_processes(int(size) for size in arguments.sizes.split(","))
        return
    measure_messages()
    measure_probes()
    measure_change_cost()
    for size in arguments.services.split(","):
        measure_services(int(size))
    for size in arguments.members.split(","):
        measure_group(int(size))


if __name__ == "__main__":
    main()
