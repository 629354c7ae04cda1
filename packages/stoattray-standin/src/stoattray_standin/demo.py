"""Demo: four services on four balancers, under load, faults and changes.

``python -m stoattray_standin.demo [--json] [--short] [--seed N]``
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402 - gevent patches the standard library first
import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from dataclasses import asdict, dataclass, field  # noqa: E402

import gevent  # noqa: E402

from stoattray_core.resources import ServiceModel  # noqa: E402
from stoattray_operator._tables import format_table  # noqa: E402
from stoattray_standin._ports import HOST, free_ports  # noqa: E402
from stoattray_standin.callers import Callers, Workload  # noqa: E402
from stoattray_standin.local_system import LocalSystem, local_system  # noqa: E402
from stoattray_standin.packets import Endpoint  # noqa: E402

BALANCERS = ("b1", "b2", "b3", "b4")
IN_FORCE_TIMEOUT_SECONDS = 15.0
FLOW_END_TIMEOUT_SECONDS = 60.0
SAMPLE_PERIOD_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class DemoService:
    """One service of the demo and its load."""

    organisation: str
    name: str
    address: str
    n_servers: int
    policy: str
    flows_per_second: float
    n_packets_choices: tuple[int, ...]
    interval_seconds: float


DEMO_SERVICES = (
    DemoService("tanglaw", "lookup", "192.0.2.10", 7, "continuity", 20, (2, 5), 0.1),
    DemoService("tanglaw", "archive", "192.0.2.11", 3, "continuity", 4, (60, 120), 0.1),
    DemoService("ferreyra", "aula-core", "192.0.2.20", 7, "balance", 20, (2, 5), 0.1),
    DemoService(
        "ferreyra", "aula-video", "192.0.2.21", 4, "balance", 4, (60, 120), 0.1
    ),
)


@dataclass(slots=True)
class ChangeResult:
    """Duration of one planned change or fault."""

    change: str
    seconds: float
    measured: str


@dataclass(slots=True)
class DemoResult:
    """Figures of one run of the demo."""

    flows: int = 0
    done: int = 0
    refused: int = 0
    broken: int = 0
    misdelivered: int = 0
    imbalance: dict[str, float] = field(default_factory=dict)
    changes: list[ChangeResult] = field(default_factory=list)


class Demo:
    """Runs the demo.

    Parameters
    ----------
    system : LocalSystem
        Processes that the demo starts and stops.
    seed : int
        Seed of callers and fabric.
    phase_seconds : float
        Pause after each change.
    progress : callable
        Called with each line of progress.
    """

    def __init__(
        self,
        system: LocalSystem,
        *,
        seed: int,
        phase_seconds: float,
        progress: Callable[[str], None],
    ) -> None:
        self._system = system
        self._phase_seconds = phase_seconds
        self._progress = progress
        self._services: dict[str, ServiceModel] = {}
        self._imbalance_samples: dict[str, list[float]] = {}
        self._callers = Callers([], (HOST, system.return_port), seed)
        self._seed = seed
        self.result = DemoResult()

    def run(self) -> DemoResult:
        """Run all phases and return the figures."""
        self._start_system()
        tasks = self._start_load()
        self._run_phase("steady load")
        self._stop_balancer()
        self._kill_balancer()
        self._drain_server()
        self._add_server()
        self._callers.opens_flows = False
        self._wait_for_flows()
        gevent.killall(tasks)
        self._collect_figures()
        return self.result

    def _start_system(self) -> None:
        self._progress("starting platform, backend servers and balancers")
        self._system.start_platform()
        self._start_backend_servers()
        for name in BALANCERS:
            self._system.add_balancer(name)
        for name in BALANCERS:
            self._system.start_balancer(name)
        self._system.wait_until_ready(list(BALANCERS))
        client = self._system.balancers["b1"].create_client()
        for service in self._services.values():
            answer = client.put_service(service.model_dump(mode="json"), 0)
        self._wait_in_force(int(answer["revision"]), "declare four services")
        self._callers.balancers = [
            balancer.fabric_address for balancer in self._system.balancers.values()
        ]

    def _start_backend_servers(self) -> None:
        plan: list[dict[str, object]] = []
        for demo_service in DEMO_SERVICES:
            servers = []
            for number, port in enumerate(free_ports(demo_service.n_servers + 1), 1):
                name = f"{demo_service.name}-{number}"
                service = f"{demo_service.organisation}/{demo_service.name}"
                plan.append({"service": service, "name": name, "port": port})
                servers.append(
                    {"name": name, "address": HOST, "port": port, "health_port": port}
                )
            spec = {
                "address": demo_service.address,
                "port": 443,
                "policy": demo_service.policy,
                "idle_limit_seconds": 5.0,
                "backend_servers": servers[: demo_service.n_servers],
            }
            model = ServiceModel.model_validate(
                {
                    "organisation": demo_service.organisation,
                    "name": demo_service.name,
                    "spec": spec,
                }
            )
            self._services[model.service] = model
            self._spare_server = servers[-1]
        self._system.start_backend_servers(plan)

    def _start_load(self) -> list[gevent.Greenlet]:
        tasks = [
            gevent.spawn(self._callers.receive_answers),
            gevent.spawn(self._sample_imbalance),
        ]
        for demo_service in DEMO_SERVICES:
            service = f"{demo_service.organisation}/{demo_service.name}"
            workload = Workload(
                service=service,
                destination=Endpoint(demo_service.address, 443),
                flows_per_second=demo_service.flows_per_second,
                n_packets_choices=demo_service.n_packets_choices,
                interval_seconds=demo_service.interval_seconds,
            )
            tasks.append(gevent.spawn(self._callers.run_workload, workload))
        return tasks

    def _stop_balancer(self) -> None:
        started = time.monotonic()
        self._system.signal_balancer("b4", signal.SIGTERM)
        gevent.sleep(self._system.drain_seconds / 2)
        self._remove_from_fabric("b4")
        exit_status = self._system.wait_for_exit("b4")
        seconds = time.monotonic() - started
        self._record_change(
            f"stop b4 by SIGTERM (exit status {exit_status})", seconds, "exit"
        )
        self._run_phase("after the stop")

    def _kill_balancer(self) -> None:
        started = time.monotonic()
        self._system.signal_balancer("b3", signal.SIGKILL)
        client = self._system.balancers["b1"].create_client()
        while "b3" not in client.get_status()["unreachable"]:
            gevent.sleep(0.1)
        self._record_change("kill b3", time.monotonic() - started, "known dead")
        self._remove_from_fabric("b3")
        self._run_phase("after the kill")

    def _drain_server(self) -> None:
        client = self._system.balancers["b1"].create_client()
        started = time.monotonic()
        answer = client.set_server_state("tanglaw", "lookup", "lookup-1", "draining")
        self._wait_in_force(int(answer["revision"]), "drain lookup-1")
        self._run_phase("while lookup-1 drains")
        last = self._last_opened_at("lookup-1")
        self._record_change("drain lookup-1", max(0.0, last - started), "last new flow")

    def _add_server(self) -> None:
        client = self._system.balancers["b2"].create_client()
        current = client.get_service("ferreyra", "aula-video")
        service = current["service"]
        service["spec"]["backend_servers"].append(self._spare_server)
        started = time.monotonic()
        answer = client.put_service(service, current["revision"])
        self._wait_in_force(int(answer["revision"]), "join aula-video-5")
        name = self._spare_server["name"]
        while self._n_opened(name) == 0 and time.monotonic() - started < 30:
            gevent.sleep(0.1)
        self._record_change(
            f"join {name}", time.monotonic() - started, "first new flow"
        )
        self._run_phase("after the join")

    def _run_phase(self, name: str) -> None:
        stats = self._callers.stats
        self._progress(
            f"{name}: {stats['flows']} flows, {self._callers.n_open} open, "
            f"{stats['broken']} broken"
        )
        gevent.sleep(self._phase_seconds)

    def _wait_for_flows(self) -> None:
        self._progress(f"waiting for {self._callers.n_open} flows to end")
        deadline = time.monotonic() + FLOW_END_TIMEOUT_SECONDS
        while self._callers.n_open and time.monotonic() < deadline:
            gevent.sleep(0.1)

    def _wait_in_force(self, revision: int, change: str) -> None:
        started = time.monotonic()
        client = self._system.balancers["b1"].create_client()
        status = client.get_status(revision, IN_FORCE_TIMEOUT_SECONDS)
        seconds = time.monotonic() - started
        outcome = "in force" if status["in_force"] else "NOT in force"
        self._record_change(change, seconds, outcome)

    def _record_change(self, change: str, seconds: float, measured: str) -> None:
        self.result.changes.append(ChangeResult(change, round(seconds, 3), measured))
        self._progress(f"{change}: {measured} after {seconds:.3f} s")

    def _remove_from_fabric(self, name: str) -> None:
        address = self._system.balancers[name].fabric_address
        self._callers.balancers.remove(address)

    def _sample_imbalance(self) -> None:
        while True:
            counts: dict[str, list[int]] = {}
            for item in self._system.server_stats():
                if item["n_opened"]:
                    counts.setdefault(item["service"], []).append(item["n_open"])
            for service, values in counts.items():
                mean = sum(values) / len(values)
                if mean >= 1:
                    ratio = max(values) / mean
                    self._imbalance_samples.setdefault(service, []).append(ratio)
            gevent.sleep(SAMPLE_PERIOD_SECONDS)

    def _last_opened_at(self, name: str) -> float:
        stats = self._system.server_stats()
        return next(item["last_opened_at"] for item in stats if item["name"] == name)

    def _n_opened(self, name: str) -> int:
        stats = self._system.server_stats()
        return next(item["n_opened"] for item in stats if item["name"] == name)

    def _collect_figures(self) -> None:
        stats = self._callers.stats
        result = self.result
        result.flows = stats["flows"]
        result.done = stats["done"]
        result.refused = stats["refused"]
        result.broken = stats["broken"] + self._callers.n_open
        result.misdelivered = stats["misdelivered"]
        result.imbalance = {
            service: round(sum(values) / len(values), 3)
            for service, values in sorted(self._imbalance_samples.items())
        }
        for line in self._callers.failures[:10]:
            self._progress(f"broken: {line}")


def main() -> int:
    """Run the demo; return 1 if flows broke or were misdelivered, else 0."""
    parser = argparse.ArgumentParser(prog="stoattray-demo", description=__doc__)
    parser.add_argument("--json", action="store_true", help="figures as JSON")
    parser.add_argument("--short", action="store_true", help="shorter phases")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()

    def progress(line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    with local_system() as system:
        demo = Demo(
            system,
            seed=arguments.seed,
            phase_seconds=2.0 if arguments.short else 8.0,
            progress=progress,
        )
        result = demo.run()
        if result.broken or result.misdelivered:
            for name in system.balancers:
                progress(system.read_log(name)[-2_000:])
    if arguments.json:
        print(json.dumps(asdict(result), indent=2))
    else:
        _print_tables(result)
    return 1 if result.misdelivered or result.broken else 0


def _print_tables(result: DemoResult) -> None:
    print(
        format_table(
            ("FLOWS", "DONE", "REFUSED", "BROKEN", "MISDELIVERED"),
            [
                (
                    result.flows,
                    result.done,
                    result.refused,
                    result.broken,
                    result.misdelivered,
                )
            ],
        )
    )
    print()
    rows = result.imbalance.items()
    print(format_table(("SERVICE", "IMBALANCE (MAX/MEAN)"), rows))
    print()
    changes = [(item.change, item.seconds, item.measured) for item in result.changes]
    print(format_table(("CHANGE", "SECONDS", "MEASURED"), changes))


if __name__ == "__main__":
    sys.exit(main())
