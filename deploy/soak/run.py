"""One run of the soak: real balancers, stand-ins, a schedule, and checks."""

import re
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
from callers import Caller, CallerFlow, Routers
from fleet import Balancer, Fleet, Ports
from gevent import socket
from hosts import SERVICES, Host, World
from injections import Injections
from promises import Promises
from schedule import draw_schedule
from store import StandinStore, document

DATA_CENTRES = ("luzon-a", "luzon-b")
RECOVERED_SHARE = 0.95
N_CALLERS = 6
FLOWS_EACH = 4
"""Flows that one caller has open at once."""

IDLE_MILLIS = 15_000


class Run:
    """One seeded run.

    Parameters
    ----------
    seed : int
        Seed of schedule and traffic.
    seconds : float
        Length.
    n_balancers : int
        Processes.
    folder : Path
        Where settings and logs go.
    """

    def __init__(
        self, seed: int, seconds: float, n_balancers: int, folder: Path
    ) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self._net = 1 + seed % 200
        self.promises = Promises()
        self.store = StandinStore(self._random)
        self.world = World(self.store, self.promises, self._random)
        self._schedule = draw_schedule(seed, seconds)
        self._ports = Ports(7_101, 7_102, 7_103, 7_104, 7_105, 7_106)
        self.fleet = Fleet(self.promises, self._balancers(n_balancers, folder))
        self._routers = Routers(self.fleet)
        self._version = 0
        self.routes: dict[bytes, str] = {}
        self._n_hosts = 0
        self._n_requests = 0
        self._recent: Counter[str] = Counter()
        self._versions: dict[tuple[str, int], int] = {}
        self.free_addresses: list[tuple[str, int]] = []

    def play(self) -> dict[str, Any]:
        """Play the run and return its report."""
        with ExitStack() as stack:
            stack.enter_context(self._system())
            self.promises.started_at = time.monotonic()
            self._wait_ready()
            self.promises.started_at = time.monotonic()
            callers = self.callers * FLOWS_EACH
            traffic = [gevent.spawn(self._ask_on, caller) for caller in callers]
            stack.callback(gevent.killall, traffic)
            injections = Injections(self)
            for entry in self._schedule:
                gevent.sleep(max(0.0, entry.at - self.promises.now))
                gevent.spawn(injections.inject, entry)
            gevent.sleep(max(0.0, self._seconds - 3.0 - self.promises.now))
            self._recent.clear()
            gevent.sleep(max(0.0, self._seconds - self.promises.now))
            self._check_recovered()
        return {
            "violations": self.promises.violations,
            "counts": dict(self.promises.counts),
            "calls": dict(self.store.calls),
            "schedule": [entry._asdict() for entry in self._schedule],
        }

    def _balancers(self, n_balancers: int, folder: Path) -> list[Balancer]:
        hosts = [f"127.{self._net}.1.{n + 1}" for n in range(n_balancers)]
        fronts = [f"127.{self._net}.5.{n + 1}" for n in range(n_balancers)]
        seeds = [f"{front}:{self._ports.seeds}" for front in fronts[:3]]
        return [
            Balancer(
                f"edge-{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                host,
                front=fronts[number],
                ports=self._ports,
                seeds=seeds,
                store=self._store_address,
                folder=folder,
            )
            for number, host in enumerate(hosts)
        ]

    @property
    def _store_address(self) -> tuple[str, int]:
        return (f"127.{self._net}.2.1", self._ports.store)

    @contextmanager
    def _system(self) -> Iterator[None]:
        with ExitStack() as stack:
            server = self.store.server(self._store_address)
            server.start()
            stack.callback(server.stop, timeout=0)
            tasks = [gevent.spawn(self.store.run_leases)]
            for service, n_hosts in SERVICES.items():
                self.add_route(service)
                for _ in range(n_hosts):
                    self.add_host(service)
            self.put_configuration()
            self.fleet.start()
            stack.callback(self.fleet.stop)
            tasks.append(gevent.spawn(self._routers.run))
            tasks.append(gevent.spawn(self.fleet.run_checks))
            tasks.append(gevent.spawn(self._watch_versions))
            self.callers = [
                Caller(
                    f"127.{self._net}.4.{number + 1}",
                    self._ports.datagrams,
                    self.world,
                    self._routers,
                )
                for number in range(N_CALLERS)
            ]
            for caller in self.callers:
                stack.callback(caller.close)
            stack.callback(gevent.killall, tasks)
            yield
            for host in list(self.world.hosts.values()):
                host.stop()

    def _wait_ready(self) -> None:
        with gevent.Timeout(20, TimeoutError("balancers do not become ready")):
            while len(self._routers.ready) < len(self.fleet.balancers):
                gevent.sleep(0.1)
            while not all(
                b.process and self._is_ready(b) for b in self.fleet.balancers
            ):
                gevent.sleep(0.1)

    @staticmethod
    def _is_ready(balancer: Balancer) -> bool:
        return "stoattray_configuration_version" in _metrics(balancer)

    def _ask_on(self, caller: Caller) -> None:
        while True:
            self._play_flow(caller)
            gevent.sleep(self._random.uniform(0.005, 0.05))

    def _play_flow(self, caller: Caller) -> None:
        destination = self._random.choice(list(self.routes))
        flow = caller.open_flow(destination)
        opened_at = self.promises.now
        outcome = flow.open()
        self.promises.counts[f"openings {outcome}"] += 1
        if outcome != "open":
            self._recent["failed"] += 1
            return
        is_idempotent = self._random.random() < 0.7
        for _ in range(self._random.choice((1, 1, 1, 5, 20))):
            self._n_requests += 1
            name = f"r{self._n_requests}"
            outcome = flow.ask(name, is_idempotent=is_idempotent)
            self.promises.counts[f"requests {outcome}"] += 1
            self._recent["served" if outcome == "answered" else "failed"] += 1
            if outcome != "answered":
                self._judge_cut(flow, opened_at, destination, outcome)
                break
            gevent.sleep(self._random.uniform(0.0, 0.2))
        flow.close()

    def _judge_cut(
        self, flow: CallerFlow, opened_at: float, destination: bytes, outcome: str
    ) -> None:
        """Check that planned changes cut nothing."""
        is_host_there = self.world.owners.get(flow.key) in self.world.hosts
        is_planned = self.promises.disturbed_until < opened_at
        if is_planned and is_host_there and destination in self.routes:
            self.promises.break_("planned changes cut nothing", outcome=outcome)

    def _check_recovered(self) -> None:
        n_all = sum(self._recent.values())
        if not n_all or self._recent["served"] < RECOVERED_SHARE * n_all:
            self.promises.break_("recovery", **self._recent)

    def add_route(self, service: str) -> bytes:
        """Declare a further destination of a service; not yet accepted."""
        self._n_routes = getattr(self, "_n_routes", 0) + 1
        host = sockets.inet_aton("198.18.0.1")
        destination = host + struct.pack(">H", 8_000 + self._n_routes)
        self.routes[destination] = service
        self.world.allowed.setdefault(destination, set()).add(service)
        return destination

    def put_configuration(self) -> None:
        """Let the operator write what is declared."""
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
            "services": [{"name": name} for name in SERVICES],
            "limits": {"idle_timeout_ms": IDLE_MILLIS},
        }
        self.store.put("op/config", document(body))

    def add_host(self, service: str, address: tuple[str, int] | None = None) -> Host:
        """Start a host of a service, at a new address unless one is given."""
        self._n_hosts += 1
        host = Host(
            f"i-{self._random.getrandbits(40):010x}",
            service,
            DATA_CENTRES[self._n_hosts % len(DATA_CENTRES)],
            address or (f"127.{self._net}.3.{self._n_hosts}", 7_107),
            caller_port=self._ports.datagrams,
            world=self.world,
        )
        host.start()
        return host

    def _watch_versions(self) -> None:
        """Check that no process goes back to an older configuration, for ever."""
        while True:
            for balancer in self.fleet.balancers:
                start = (balancer.name, balancer.n_starts)
                found = re.search(
                    r"^stoattray_configuration_version (\d+)", _metrics(balancer), re.M
                )
                if found is None or start != (balancer.name, balancer.n_starts):
                    continue
                version = int(found[1])
                if version < self._versions.get(start, 0):
                    self.promises.break_("never an older configuration", at_=start)
                self._versions[start] = version
            gevent.sleep(0.5)


def _metrics(balancer: Balancer) -> str:
    """Return the metrics of a balancer, or nothing where it does not answer."""
    address = (balancer.readiness[0], 7_105)
    try:
        with gevent.Timeout(0.5, TimeoutError()):
            connection = socket.create_connection(address)
            try:
                connection.sendall(
                    b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                )
                chunks = iter(lambda: connection.recv(65_536), b"")
                return b"".join(chunks).decode()
            finally:
                connection.close()
    except (OSError, TimeoutError):
        return ""


def play(seed: int, seconds: float, n_balancers: int) -> tuple[dict[str, Any], Path]:
    """Play one run; return its report and the folder of its logs."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = Run(seed, seconds, n_balancers, folder).play()
    return {"seed": seed, "seconds": seconds, **report}, folder
