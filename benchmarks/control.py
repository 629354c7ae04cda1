"""Cost of control: bytes, processor time, memory, platform calls and delays.

``python benchmarks/control.py processes --sizes 4,8,16,32`` drives real
processes on loopback. ``python benchmarks/control.py cores`` drives cores in
one process over the in-memory network, for more balancers and more services.
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

from stoattray_balancer._probes import Prober
from stoattray_balancer.wire import message_size
from stoattray_core import Core, CoreSettings, Identity, MemberId
from stoattray_core.configuration import ConfigEntry
from stoattray_core.messages import BucketUpdate
from stoattray_core.resources import ServiceModel
from stoattray_standin.deployments import service_model
from stoattray_standin.local import LocalSystem, local_system
from stoattray_standin.memory import MemoryNetwork

SEAL_BYTES = 30
REST_SECONDS = 20.0
N_CHANGES = 20
N_PROBES = 500
N_DATA_CENTRES = 3
TICK_MILLIS = 20
SETTLE_MILLIS = 60_000
MILLIS_PER_SECOND = 1_000
KNOWN_DEAD_LIMIT_SECONDS = 30.0


def show(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.6g} {unit}", flush=True)


def today_services() -> list[ServiceModel]:
    """Return the four services of today, without health probes."""
    plans = (
        ("tanglaw", "lookup", 10, 7, "continuity"),
        ("tanglaw", "archive", 11, 3, "continuity"),
        ("ferreyra", "aula-core", 20, 7, "balance"),
        ("ferreyra", "aula-video", 21, 4, "balance"),
    )
    return [
        service_model(
            organisation,
            name,
            address=f"192.0.2.{last}",
            n_servers=n_servers,
            policy=policy,
            first_host=last * 10,
            health_port=None,
        )
        for organisation, name, last, n_servers, policy in plans
    ]


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals over all balancers at one time."""

    at: float
    processor: float
    sent_bytes: int
    platform_calls: int


class ProcessRun:
    """One system of real processes.

    Parameters
    ----------
    system : LocalSystem
        Owns the processes.
    n_balancers : int
        How many balancers run.
    """

    def __init__(self, system: LocalSystem, n_balancers: int) -> None:
        self._system = system
        self._names = [f"b{number:03d}" for number in range(n_balancers)]
        self._prefix = f"control_{n_balancers}_balancers"
        self._n = n_balancers

    def run(self) -> None:
        """Measure rest, changes and a death."""
        self._start()
        time.sleep(8.0)
        self._measure_rest()
        self._measure_changes()
        self._measure_death()

    def _start(self) -> None:
        self._system.start_platform()
        for name in self._names:
            self._system.plan_balancer(name)
        started = time.monotonic()
        for index, name in enumerate(self._names):
            self._system.start_balancer(name, f"dc{index % N_DATA_CENTRES}")
        self._system.wait_ready(self._names)
        show(f"{self._prefix}_start", time.monotonic() - started, "s")
        client = self._system.balancers[self._names[0]].client()
        for service in today_services():
            client.put_service(service.model_dump(mode="json"), 0)

    def _sample(self) -> Sample:
        processor = 0.0
        sent = 0
        for name in self._names:
            balancer = self._system.balancers[name]
            times = psutil.Process(balancer.process.pid).cpu_times()
            processor += times.user + times.system
            sent += balancer.counters().get("peer_bytes_sent", 0)
        return Sample(time.monotonic(), processor, sent, self._system.platform_calls())

    def _measure_rest(self) -> None:
        before = self._sample()
        time.sleep(REST_SECONDS)
        after = self._sample()
        seconds = after.at - before.at
        share = (after.processor - before.processor) / seconds / self._n * 100
        show(f"{self._prefix}_rest_processor", share, "%_of_a_core")
        sent = (after.sent_bytes - before.sent_bytes) / seconds / self._n
        show(f"{self._prefix}_rest_sent", sent, "bytes/s/node")
        calls = (after.platform_calls - before.platform_calls) / seconds
        show(f"{self._prefix}_rest_platform_calls", calls, "calls/s")
        memory = [
            psutil.Process(self._system.balancers[name].process.pid).memory_info().rss
            for name in self._names
        ]
        show(f"{self._prefix}_memory", max(memory) / 1e6, "MB")

    def _measure_changes(self) -> None:
        client = self._system.balancers[self._names[0]].client()
        other = self._system.balancers[self._names[-1]].client()
        before = self._sample()
        delays: list[float] = []
        for number in range(N_CHANGES):
            state = "draining" if number % 2 == 0 else "active"
            answer = client.set_server_state("tanglaw", "archive", "archive-1", state)
            accepted = time.monotonic()
            report = other.status(int(answer["revision"]), 15.0)
            if not report["in_force"]:
                raise TimeoutError(f"not in force: {report}")
            delays.append(time.monotonic() - accepted)
        time.sleep(4.0)
        after = self._sample()
        show(f"{self._prefix}_in_force_p50", statistics.median(delays), "s")
        show(f"{self._prefix}_in_force_max", max(delays), "s")
        sent = (after.sent_bytes - before.sent_bytes) / self._n / N_CHANGES
        show(f"{self._prefix}_change_sent", sent, "bytes/change/node")
        processor = (after.processor - before.processor) / self._n / N_CHANGES
        show(f"{self._prefix}_change_processor", processor * 1e3, "ms/change/node")

    def _measure_death(self) -> None:
        victim = self._names[-1]
        clients = [self._system.balancers[name].client() for name in self._names[:-1]]
        started = time.monotonic()
        self._system.signal_balancer(victim, signal.SIGKILL)
        for client in clients:
            while victim not in client.status()["unreachable"]:
                if time.monotonic() - started > KNOWN_DEAD_LIMIT_SECONDS:
                    raise TimeoutError(f"{victim} is not known dead everywhere")
                time.sleep(0.05)
        show(f"{self._prefix}_death_known", time.monotonic() - started, "s")


def run_processes(sizes: Iterable[int]) -> None:
    """Measure systems of real processes, one after the other."""
    for size in sizes:
        with local_system() as system:
            ProcessRun(system, size).run()


def measure_members(n_balancers: int) -> None:
    """Measure many cores in one process, with one service."""
    net = MemoryNetwork(1)
    net.message_bytes = lambda message: message_size(message) + SEAL_BYTES
    started = time.process_time()
    for number in range(n_balancers):
        net.start(f"b{number:03d}")
    service = service_model("tanglaw", "lookup", address="192.0.2.10", n_servers=7)
    net.declare(service)
    net.run(SETTLE_MILLIS)
    prefix = f"cores_{n_balancers}_members"
    ready = sum(core.is_ready for core in net.cores.values())
    show(f"{prefix}_ready", ready, "balancers")
    net.sent_bytes.clear()
    started = time.process_time()
    net.run(10_000)
    spent = time.process_time() - started
    rest = sum(net.sent_bytes.values()) / n_balancers / 10
    show(f"{prefix}_rest_sent", rest, "bytes/s/node")
    show(f"{prefix}_rest_processor", spent / n_balancers / 10 * 100, "%_of_a_core")
    net.sent_bytes.clear()
    revision = net.declare(
        service_model(
            "tanglaw",
            "lookup",
            address="192.0.2.10",
            n_servers=7,
            draining=frozenset({"lookup-1"}),
        )
    )
    declared_at = net.now
    while min(core.config_revision for core in net.cores.values()) < revision:
        net.run(10)
    show(f"{prefix}_in_force", (net.now - declared_at) / MILLIS_PER_SECOND, "s")
    net.run(10_000)
    change = sum(net.sent_bytes.values()) / n_balancers - 10 * rest
    show(f"{prefix}_drain_sent", change, "bytes/change/node")
    _measure_member_death(net, prefix)


def _measure_member_death(net: MemoryNetwork, prefix: str) -> None:
    victim = list(net.cores)[-1]
    net.sent_bytes.clear()
    net.kill(victim)
    died_at = net.now
    while any(
        core.tables.members[victim].is_present
        for core in net.cores.values()
        if victim in core.tables.members
    ):
        net.run(50)
    show(f"{prefix}_death_known", (net.now - died_at) / MILLIS_PER_SECOND, "s")
    net.run(5_000)
    seconds = (net.now - died_at) / MILLIS_PER_SECOND
    sent = sum(net.sent_bytes.values()) / len(net.cores)
    show(f"{prefix}_death_sent", sent / seconds, "bytes/s/node")


def measure_services(n_services: int) -> None:
    """Measure one core that owns every shard of many services."""
    identity = Identity(MemberId("b1"), "127.0.0.1", 1, 2, 3, "dc1", 1)
    entries: list[ConfigEntry] = []
    for number in range(n_services):
        model = service_model(
            "o1",
            f"s{number}",
            address=f"192.0.{2 + number // 250}.{number % 250 + 1}",
            n_servers=9,
        )
        entries.append(
            ConfigEntry(f"services/{model.service}", 1, model.model_dump_json())
        )
        entries.append(ConfigEntry(f"addresses/{model.spec.key:x}", 1, model.service))
    gc.collect()
    tracemalloc.start()
    core = Core(identity, seeds=(), settings=CoreSettings(), random=Random(1), now=0)
    began = time.process_time()
    core.on_config(0, 1, entries)
    loading = time.process_time() - began
    for now in range(0, 4_000, TICK_MILLIS):
        core.tick(now)
        core.take_outputs()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    prefix = f"cores_{n_services}_services"
    show(f"{prefix}_memory", memory / 1e6, "MB")
    show(f"{prefix}_load", loading / n_services * 1e3, "ms/service_traced")
    n_ticks = 500
    began = time.process_time()
    for number in range(n_ticks):
        core.tick(4_000 + number * TICK_MILLIS)
        core.take_outputs()
    spent = time.process_time() - began
    show(f"{prefix}_tick", spent / n_ticks * 1e6, "us/tick")
    share = spent / (n_ticks * TICK_MILLIS / MILLIS_PER_SECOND) * 100
    show(f"{prefix}_rest_processor", share, "%_of_a_core")


def measure_change_cost() -> None:
    """Measure the processor time of one changed service and of one bucket."""
    identity = Identity(MemberId("b1"), "127.0.0.1", 1, 2, 3, "dc1", 1)
    core = Core(identity, seeds=(), settings=CoreSettings(), random=Random(1), now=0)
    n_changes = 50
    began = time.process_time()
    for revision in range(1, n_changes + 1):
        model = service_model("o1", "s1", address="192.0.2.1", n_servers=9)
        entry = ConfigEntry("services/o1/s1", revision, model.model_dump_json())
        core.on_config(revision - 1, revision, [entry])
    spent = time.process_time() - began
    show("core_change_processor", spent / n_changes * 1e3, "ms/change")
    show("core_entry_size", len(model.model_dump_json()), "bytes/service")


def measure_probes() -> None:
    """Measure the processor time of one health probe."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(N_PROBES)
        address = listener.getsockname()
        prober = Prober(None, period_seconds=1.0, timeout_seconds=1.0)
        began = time.process_time()
        n_up = sum(prober.is_up(address) for _ in range(N_PROBES))
        spent = time.process_time() - began
    show("probe_processor", spent / n_up * 1e3, "ms/probe")


def measure_messages() -> None:
    """Measure the size of messages that grow with their content."""
    from stoattray_core.messages import BucketState, FlowGroup, MemberState, Ping

    empty = message_size(BucketUpdate(1, [], [], []))
    bucket = BucketState(
        "organisation/service", 100, 5, 7, True, "lookup-1@127.0.0.1:9000"
    )
    one = message_size(BucketUpdate(1, [], [bucket], []))
    show("message_bucket", one - empty, "bytes/bucket")
    group = FlowGroup(
        "organisation/service", 100, "lookup-1@127.0.0.1:9000", b"x" * 6_000
    )
    many = message_size(BucketUpdate(1, [], [], [group]))
    show("message_flow", (many - empty) / 1_000, "bytes/flow")
    member = MemberState(
        "b1000", "10.10.10.10", 7000, 7001, 7443, "dc1", 1 << 40, 1, 1 << 20
    )
    ping = message_size(Ping(1, 1, 1, []))
    show("message_ping", ping + SEAL_BYTES, "bytes/ping")
    show("message_member", message_size(Ping(1, 1, 1, [member])) - ping, "bytes/member")


def main() -> None:
    """Print the figures of one kind of run."""
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="kind", required=True)
    processes = commands.add_parser("processes")
    processes.add_argument("--sizes", default="4,8,16,32")
    cores = commands.add_parser("cores")
    cores.add_argument("--members", default="8,32,64,128,233")
    cores.add_argument("--services", default="4,61,122,244")
    arguments = parser.parse_args()
    if arguments.kind == "processes":
        run_processes(int(size) for size in arguments.sizes.split(","))
        return
    measure_messages()
    measure_probes()
    measure_change_cost()
    for size in arguments.services.split(","):
        measure_services(int(size))
    for size in arguments.members.split(","):
        measure_members(int(size))


if __name__ == "__main__":
    main()
