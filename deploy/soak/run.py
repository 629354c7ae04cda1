"""One soak run: real balancers, simulated surroundings, a schedule and checks."""

import socket as sockets
import struct
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from typing import Any

import gevent
import warm_up
from backend_servers import N_SERVERS_BY_SERVICE, BackendServer, SharedState
from callers import Caller, CallerFlow, Routers
from evacuations import Evacuations
from fleet import BALANCER_MAIN, Balancer, Fleet, Ports
from injector import Injector
from losses import Losses
from monitor import InvariantMonitor
from schedule import (
    generate_evacuations,
    generate_restores,
    generate_schedule,
    generate_unlistings,
)
from store import SimulatedStore, encode_document
from versions import check_versions, fetch_metrics

DATA_CENTRES = ("luzon-a", "luzon-b")
DATA_CENTRES_TO_EVACUATE = (*DATA_CENTRES, "luzon-c")
"""One data centre remains while two are evacuated."""

MIN_SUCCESS_SHARE = 0.95
N_CALLERS = 6
N_FLOWS_PER_CALLER = 4
"""Concurrent flows of one caller."""

IDLE_TIMEOUT_MILLIS = 15_000


class Run:
    """A soak run with a seed.

    Parameters
    ----------
    seed : int
        Seed of the schedule and the traffic.
    seconds : float
        Length of the run.
    n_balancers : int
        Number of balancer processes.
    directory : Path
        Directory for settings and logs.
    has_restores : bool
        Whether the store also returns from older copies.
    has_evacuations : bool
        Whether data centres are evacuated, and servers start cold.
    has_losses : bool
        Whether answers to openings are lost, callers pause and use ports again, and
        servers lose their records without draining.
    mains : tuple of Path
        Programs of the builds that balancers run in turn.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        n_balancers: int,
        directory: Path,
        *,
        has_restores: bool,
        has_evacuations: bool,
        has_losses: bool,
        mains: tuple[Path, ...],
    ) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self._subnet = 1 + seed % 200
        self.monitor = InvariantMonitor()
        self.store = SimulatedStore(self._random)
        self.shared = SharedState(self.store, self.monitor, self._random)
        self.data_centres = DATA_CENTRES
        self.evacuations: Evacuations | None = None
        self.outage_ends_at = 0.0
        self._is_under_way = False
        if has_evacuations:
            self.data_centres = DATA_CENTRES_TO_EVACUATE
            self.evacuations = Evacuations(self.store, self.monitor)
            self.shared.evacuations = self.evacuations
        self._schedule = generate_schedule(seed, seconds)
        if has_restores:
            self._schedule += generate_restores(seed, seconds)
        if has_evacuations:
            self._schedule += generate_evacuations(seed, seconds)
        if has_losses:
            self.shared.losses = Losses(seed)
            self._schedule += generate_unlistings(seed, seconds)
        if has_restores or has_evacuations or has_losses:
            self._schedule.sort()
        self._mains = mains
        self.has_earlier_build = len(mains) > 1
        self._ports = Ports(7_101, 7_102, 7_103, 7_104, 7_105, 7_106)
        self.fleet = Fleet(self.monitor, self._create_balancers(n_balancers, directory))
        self._routers = Routers(self.fleet)
        self._version = 0
        self.routes: dict[bytes, str] = {}
        self._n_backend_servers = 0
        self._n_requests = 0
        self._recent_outcomes: Counter[str] = Counter()
        self.free_addresses: list[tuple[str, int]] = []

    def execute(self) -> dict[str, Any]:
        """Execute the run and return its report."""
        with ExitStack() as stack:
            stack.enter_context(self._running_system())
            self.monitor.started_at = time.monotonic()
            self._wait_until_ready()
            self.monitor.started_at = time.monotonic()
            self._is_under_way = True
            callers = self.callers * N_FLOWS_PER_CALLER
            traffic = [
                gevent.spawn(self._generate_traffic, caller) for caller in callers
            ]
            stack.callback(gevent.killall, traffic)
            injector = Injector(self)
            for entry in self._schedule:
                gevent.sleep(max(0.0, entry.at - self.monitor.elapsed_seconds))
                gevent.spawn(injector.inject, entry)
            gevent.sleep(max(0.0, self._seconds - 3.0 - self.monitor.elapsed_seconds))
            self._recent_outcomes.clear()
            gevent.sleep(max(0.0, self._seconds - self.monitor.elapsed_seconds))
            self._check_recovery()
        return {
            "violations": self.monitor.violations,
            "counts": dict(self.monitor.counts),
            "calls": dict(self.store.calls),
            "schedule": [entry._asdict() for entry in self._schedule],
        }

    def _create_balancers(self, n_balancers: int, directory: Path) -> list[Balancer]:
        hosts = [f"127.{self._subnet}.1.{n + 1}" for n in range(n_balancers)]
        advertised_hosts = [f"127.{self._subnet}.5.{n + 1}" for n in range(n_balancers)]
        seeds = [
            f"{advertised_host}:{self._ports.seeds}"
            for advertised_host in advertised_hosts[:3]
        ]
        return [
            Balancer(
                f"edge-{number}",
                self.data_centres[number % len(self.data_centres)],
                host,
                advertised_host=advertised_hosts[number],
                ports=self._ports,
                seeds=seeds,
                store=self._store_address,
                directory=directory,
                extra_settings=warm_up.SETTINGS if self.evacuations else {},
                mains=self._mains[number % len(self._mains) :] + self._mains,
            )
            for number, host in enumerate(hosts)
        ]

    @property
    def _store_address(self) -> tuple[str, int]:
        return (f"127.{self._subnet}.2.1", self._ports.store)

    @contextmanager
    def _running_system(self) -> Iterator[None]:
        with ExitStack() as stack:
            store_server = self.store.create_server(self._store_address)
            store_server.start()
            stack.callback(store_server.stop, timeout=0)
            tasks = [
                gevent.spawn(self.store.expire_leases),
                gevent.spawn(self.store.take_copies),
            ]
            for service, n_servers in N_SERVERS_BY_SERVICE.items():
                self.declare_route(service)
                for _ in range(n_servers):
                    self.add_backend_server(service)
            self.write_configuration()
            self.fleet.start()
            stack.callback(self.fleet.stop)
            tasks.append(gevent.spawn(self._routers.run))
            tasks.append(gevent.spawn(self.fleet.monitor_processes))
            tasks.append(gevent.spawn(check_versions, self.fleet, self.monitor))
            self.callers = [
                Caller(
                    f"127.{self._subnet}.4.{number + 1}",
                    self._ports.datagrams,
                    self.shared,
                    self._routers,
                )
                for number in range(N_CALLERS)
            ]
            for caller in self.callers:
                stack.callback(caller.close)
            stack.callback(gevent.killall, tasks)
            yield
            for server in list(self.shared.backend_servers.values()):
                server.stop()

    def _wait_until_ready(self) -> None:
        with gevent.Timeout(
            20, TimeoutError("balancers did not become ready within 20 s")
        ):
            while len(self._routers.in_rotation) < len(self.fleet.balancers):
                gevent.sleep(0.1)
            while not all(
                b.process and self._has_configuration(b) for b in self.fleet.balancers
            ):
                gevent.sleep(0.1)

    @staticmethod
    def _has_configuration(balancer: Balancer) -> bool:
        return "stoattray_configuration_version" in fetch_metrics(balancer)

    def _generate_traffic(self, caller: Caller) -> None:
        while True:
            self._run_flow(caller)
            gevent.sleep(self._random.uniform(0.005, 0.05))

    def _run_flow(self, caller: Caller) -> None:
        destination = self._random.choice(list(self.routes))
        flow = caller.create_flow(destination)
        opened_at = self.monitor.elapsed_seconds
        outcome = flow.open()
        self.monitor.counts[f"openings {outcome}"] += 1
        if outcome != "open":
            self._recent_outcomes["failed"] += 1
            return
        is_idempotent = self._random.random() < 0.7
        pauses = self._draw_pauses()
        for seconds in pauses:
            self._n_requests += 1
            request_id = f"r{self._n_requests}"
            outcome = flow.send_request(request_id, is_idempotent=is_idempotent)
            self.monitor.counts[f"requests {outcome}"] += 1
            self._recent_outcomes["served" if outcome == "answered" else "failed"] += 1
            if outcome != "answered":
                self._check_interruption(flow, opened_at, destination, outcome)
                break
            gevent.sleep(seconds)
        flow.close()
        if outcome == "answered":
            caller.release(flow)

    def _draw_pauses(self) -> Iterator[float]:
        """Yield the pause after each request of a flow."""
        pauses = self.shared.losses and self.shared.losses.draw_pauses()
        if pauses is not None:
            yield from pauses
            return
        for _ in range(self._random.choice((1, 1, 1, 5, 20))):
            yield self._random.uniform(0.0, 0.2)

    def _check_interruption(
        self, flow: CallerFlow, opened_at: float, destination: bytes, outcome: str
    ) -> None:
        """Check that planned changes interrupt no flow."""
        has_owner = self.shared.flow_owners.get(flow.key) in self.shared.backend_servers
        is_fault_free = self.monitor.fault_window_ends_at < opened_at
        if is_fault_free and has_owner and destination in self.routes:
            self.monitor.record_violation(
                "planned changes cut nothing", outcome=outcome
            )

    def _check_recovery(self) -> None:
        n_outcomes = sum(self._recent_outcomes.values())
        if (
            not n_outcomes
            or self._recent_outcomes["served"] < MIN_SUCCESS_SHARE * n_outcomes
        ):
            self.monitor.record_violation("recovery", **self._recent_outcomes)

    def declare_route(self, service: str) -> bytes:
        """Declare a new destination of a service, not yet written to the store."""
        self._n_routes = getattr(self, "_n_routes", 0) + 1
        host = sockets.inet_aton("198.18.0.1")
        destination = host + struct.pack(">H", 8_000 + self._n_routes)
        self.routes[destination] = service
        self.shared.services_by_destination.setdefault(destination, set()).add(service)
        return destination

    def write_configuration(self) -> None:
        """Write the declared configuration to the store, as an operator does."""
        self._version += self._random.randint(1, 5)
        routes = [
            {
                "name": f"r-{index}",
                "host": sockets.inet_ntoa(destination[:4]),
                "prefix": f"/{int.from_bytes(destination[4:])}/",
                "type": "idempotent",
                "service": service,
            }
            for index, (destination, service) in enumerate(self.routes.items())
        ]
        body = {
            "version": self._version,
            "routes": routes,
            "services": [self._service(name) for name in N_SERVERS_BY_SERVICE],
            "limits": {"idle_timeout_ms": IDLE_TIMEOUT_MILLIS},
        }
        self._configuration = encode_document(body)
        self.store.put("op/config", self._configuration)

    def _service(self, name: str) -> dict[str, object]:
        if self.evacuations is None:
            return {"name": name}
        seconds, per_second = warm_up.WARM_UPS[name]
        return {"name": name, "warmup_s": seconds, "warmup_per_s": per_second}

    def write_configuration_again(self) -> None:
        """Write the newest configuration again if the store has lost it."""
        item = self.store.items.get("op/config")
        if item is None or item.value != self._configuration:
            self.store.put("op/config", self._configuration)

    def add_backend_server(
        self,
        service: str,
        address: tuple[str, int] | None = None,
        data_centre: str | None = None,
    ) -> BackendServer:
        """Start a backend server, at a new address unless one is given."""
        self._n_backend_servers += 1
        number = self._n_backend_servers
        return self._start_backend_server(
            f"i-{self._random.getrandbits(40):010x}",
            service,
            data_centre or self.data_centres[number % len(self.data_centres)],
            address or (f"127.{self._subnet}.3.{number}", 7_107),
            is_cold=bool(self.evacuations) and self._is_under_way,
        )

    def restart_backend_server(self, server: BackendServer) -> BackendServer:
        """Start a backend server that has stopped again, under its id and cold."""
        return self._start_backend_server(
            server.name,
            server.service,
            server.data_centre,
            server.address,
            is_cold=True,
            is_restart=True,
        )

    def _start_backend_server(
        self,
        name: str,
        service: str,
        data_centre: str,
        address: tuple[str, int],
        *,
        is_cold: bool,
        is_restart: bool = False,
    ) -> BackendServer:
        check = None
        if is_cold:
            check = warm_up.WarmUpCheck(
                name,
                warm_up.WARM_UPS[service],
                self.monitor.elapsed_seconds,
                self.monitor,
                is_restart=is_restart,
            )
        server = BackendServer(
            name,
            service,
            data_centre,
            address,
            caller_port=self._ports.datagrams,
            shared=self.shared,
            warm_up=check,
            started_at_unix_ms=round(1_000 * time.time()) if is_cold else 1,
        )
        server.start()
        return server

    def has_usable_server(self, service: str) -> bool:
        """Return whether an opening of a service must succeed.

        Evacuations, joint restarts and cold servers may leave a service without a
        server for which openings are not limited.
        """
        if self.evacuations is None:
            return True
        return self.monitor.elapsed_seconds >= self.outage_ends_at and any(
            server.service == service
            and server.draining_since is None
            and not server.is_cold
            and not self.evacuations.is_requested(server.data_centre)
            for server in self.shared.backend_servers.values()
        )


def execute_run(
    seed: int,
    seconds: float,
    n_balancers: int,
    *,
    has_restores: bool = False,
    has_evacuations: bool = False,
    has_losses: bool = False,
    mains: tuple[Path, ...] = (BALANCER_MAIN,),
) -> tuple[dict[str, Any], Path]:
    """Execute one run; return its report and its log directory."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = Run(
        seed,
        seconds,
        n_balancers,
        directory,
        has_restores=has_restores,
        has_evacuations=has_evacuations,
        has_losses=has_losses,
        mains=mains,
    ).execute()
    return {"seed": seed, "seconds": seconds, **report}, directory
