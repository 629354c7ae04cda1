"""One run of the soak: real balancers, stand-ins, a schedule, and checks."""

import re
import signal
import socket as sockets
import struct
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from typing import Any

import gevent
from callers import Caller, CallerFlow, Routers
from fleet import Balancer, Fleet, Ports
from gevent import socket
from hosts import Host, World
from promises import Promises
from proxy import LinkFault
from schedule import Entry, draw_schedule
from store import StandinStore, document

DATA_CENTRES = ("luzon-a", "luzon-b")
SERVICES = {"lookup": 5, "archive": 3}
SETTLE_SECONDS = 4.0
"""How long after a fault bounds in time do not hold yet."""

IN_FORCE_SECONDS = 3.0
DRAIN_SECONDS = 7.0
"""How long a leaving host goes on serving; flows are at most 5 s long."""

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
        self._store = StandinStore(self._random)
        self._world = World(self._store, self.promises, self._random)
        self._schedule = draw_schedule(seed, seconds)
        self._ports = Ports(7_101, 7_102, 7_103, 7_104, 7_105, 7_106)
        self._fleet = Fleet(self.promises, self._balancers(n_balancers, folder))
        self._routers = Routers(self._fleet)
        self._version = 0
        self._routes: dict[bytes, str] = {}
        self._n_hosts = 0
        self._n_requests = 0
        self._recent: Counter[str] = Counter()
        self._versions: dict[tuple[str, int], int] = {}
        self._free_addresses: list[tuple[str, int]] = []

    def play(self) -> dict[str, Any]:
        """Play the run and return its report."""
        with ExitStack() as stack:
            stack.enter_context(self._system())
            self.promises.started_at = time.monotonic()
            self._wait_ready()
            self.promises.started_at = time.monotonic()
            callers = self._callers * FLOWS_EACH
            traffic = [gevent.spawn(self._ask_on, caller) for caller in callers]
            stack.callback(gevent.killall, traffic)
            for entry in self._schedule:
                gevent.sleep(max(0.0, entry.at - self.promises.now))
                gevent.spawn(self._inject, entry)
            gevent.sleep(max(0.0, self._seconds - 3.0 - self.promises.now))
            self._recent.clear()
            gevent.sleep(max(0.0, self._seconds - self.promises.now))
            self._check_recovered()
        return {
            "violations": self.promises.violations,
            "counts": dict(self.promises.counts),
            "calls": dict(self._store.calls),
            "schedule": [entry._asdict() for entry in self._schedule],
        }

    def _balancers(self, n_balancers: int, folder: Path) -> list[Balancer]:
        hosts = [f"127.{self._net}.1.{n + 1}" for n in range(n_balancers)]
        seeds = [f"{host}:{self._ports.seeds}" for host in hosts[:3]]
        return [
            Balancer(
                f"edge-{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                host,
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
            server = self._store.server(self._store_address)
            server.start()
            stack.callback(server.stop, timeout=0)
            tasks = [gevent.spawn(self._store.run_leases)]
            for service, n_hosts in SERVICES.items():
                self._add_route(service)
                for _ in range(n_hosts):
                    self._add_host(service)
            self._put_configuration()
            self._fleet.start()
            stack.callback(self._fleet.stop)
            tasks.append(gevent.spawn(self._routers.run))
            tasks.append(gevent.spawn(self._fleet.run_checks))
            tasks.append(gevent.spawn(self._watch_versions))
            self._callers = [
                Caller(
                    f"127.{self._net}.4.{number + 1}",
                    self._ports.datagrams,
                    self._world,
                    self._routers,
                )
                for number in range(N_CALLERS)
            ]
            for caller in self._callers:
                stack.callback(caller.close)
            stack.callback(gevent.killall, tasks)
            yield
            for host in list(self._world.hosts.values()):
                host.stop()

    def _wait_ready(self) -> None:
        with gevent.Timeout(20, TimeoutError("balancers do not become ready")):
            while len(self._routers.ready) < len(self._fleet.balancers):
                gevent.sleep(0.1)
            while not all(
                b.process and self._is_ready(b) for b in self._fleet.balancers
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
        destination = self._random.choice(list(self._routes))
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
        is_host_there = self._world.owners.get(flow.key) in self._world.hosts
        is_planned = self.promises.disturbed_until < opened_at
        if is_planned and is_host_there and destination in self._routes:
            self.promises.break_("planned changes cut nothing", outcome=outcome)

    def _check_recovered(self) -> None:
        n_all = sum(self._recent.values())
        if not n_all or self._recent["served"] < RECOVERED_SHARE * n_all:
            self.promises.break_("recovery", **self._recent)

    def _add_route(self, service: str) -> bytes:
        self._n_routes = getattr(self, "_n_routes", 0) + 1
        host = sockets.inet_aton("198.18.0.1")
        destination = host + struct.pack(">H", 8_000 + self._n_routes)
        self._routes[destination] = service
        self._world.allowed.setdefault(destination, set()).add(service)
        return destination

    def _put_configuration(self) -> None:
        self._version += self._random.randint(1, 5)
        routes = [
            {
                "name": f"r-{index}",
                "host": sockets.inet_ntoa(destination[:4]),
                "prefix": f"/{int.from_bytes(destination[4:])}/",
                "type": "idempotent",
                "service": service,
            }
            for index, (destination, service) in enumerate(self._routes.items())
        ]
        body = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": name} for name in SERVICES],
            "limits": {"idle_timeout_ms": IDLE_MILLIS},
        }
        self._store.put("op/config", document(body))

    def _add_host(self, service: str, address: tuple[str, int] | None = None) -> Host:
        self._n_hosts += 1
        host = Host(
            f"i-{self._random.getrandbits(40):010x}",
            service,
            DATA_CENTRES[self._n_hosts % len(DATA_CENTRES)],
            address or (f"127.{self._net}.3.{self._n_hosts}", 7_107),
            caller_port=self._ports.datagrams,
            world=self._world,
        )
        host.start()
        return host

    def _inject(self, entry: Entry) -> None:
        action: Callable[[Entry], None] = getattr(self, f"_inject_{entry.kind}")
        self.promises.counts[f"injected {entry.kind}"] += 1
        action(entry)

    def _disturb(self, seconds: float) -> None:
        self.promises.disturb(seconds + SETTLE_SECONDS)

    def _pick(self, entry: Entry) -> Balancer:
        balancers = self._fleet.balancers
        return balancers[entry.pick % len(balancers)]

    def _pick_host(self, entry: Entry) -> Host | None:
        usable = [h for h in self._world.hosts.values() if h.draining_since is None]
        by_service = Counter(host.service for host in usable)
        spare = [host for host in usable if by_service[host.service] > 2]
        return spare[entry.pick % len(spare)] if spare else None

    def _inject_kill(self, entry: Entry) -> None:
        self._disturb(entry.seconds)
        self._fleet.restart(self._pick(entry), signal.SIGKILL, entry.seconds)

    def _inject_kill_all(self, entry: Entry) -> None:
        self._disturb(entry.seconds)
        gevent.joinall(
            [
                gevent.spawn(
                    self._fleet.restart, balancer, signal.SIGKILL, entry.seconds
                )
                for balancer in self._fleet.balancers
            ]
        )

    def _inject_pause(self, entry: Entry) -> None:
        self._disturb(entry.seconds)
        balancer = self._pick(entry)
        balancer.send(signal.SIGSTOP)
        gevent.sleep(entry.seconds)
        balancer.send(signal.SIGCONT)

    def _inject_roll(self, entry: Entry) -> None:
        for balancer in self._fleet.balancers[:2]:
            self._fleet.restart(balancer, signal.SIGTERM, 0.3)
            gevent.sleep(1.0)

    def _inject_reload(self, entry: Entry) -> None:
        self._pick(entry).send(signal.SIGHUP)

    def _set_link(self, entry: Entry, fault: LinkFault) -> None:
        self._disturb(entry.seconds)
        link = self._pick(entry).link
        link.set_fault(fault)
        gevent.sleep(entry.seconds)
        link.set_fault(LinkFault.NONE)

    def _inject_link_delay(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.DELAY)

    def _inject_link_reset(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.RESET)

    def _inject_link_one_way(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.ONE_WAY)

    def _inject_link_silent(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.SILENT)

    def _with_store(self, entry: Entry, name: str, value: object) -> None:
        self._disturb(entry.seconds)
        usual = getattr(type(self._store.faults)(), name)
        setattr(self._store.faults, name, value)
        gevent.sleep(entry.seconds)
        setattr(self._store.faults, name, usual)

    def _inject_store_down(self, entry: Entry) -> None:
        if entry.pick % 2:
            self._store.revoke("servers/")
        self._with_store(entry, "is_down", True)

    def _inject_store_slow(self, entry: Entry) -> None:
        self._with_store(entry, "delay_seconds", 0.24)

    def _inject_store_lost(self, entry: Entry) -> None:
        self._with_store(entry, "lost_answers", 0.5)

    def _inject_store_compact(self, entry: Entry) -> None:
        self._disturb(0.0)
        self._store.compact()

    def _inject_store_revoke(self, entry: Entry) -> None:
        self._store.revoke("stoattray/members/")

    def _inject_host_drain(self, entry: Entry) -> None:
        host = self._pick_host(entry)
        if host is None or self._store.faults.is_down:
            return
        self._add_host(host.service)
        host.drain()
        gevent.sleep(DRAIN_SECONDS)
        host.stop()
        self._free_addresses.append(host.address)

    def _inject_host_crash(self, entry: Entry) -> None:
        host = self._pick_host(entry)
        if host is None:
            return
        host.stop(is_registered_on=True)
        gevent.sleep(1.5)
        self._store.delete(f"servers/{host.name}")
        self._add_host(host.service)

    def _inject_host_reuse(self, entry: Entry) -> None:
        if self._free_addresses:
            gevent.sleep(2.0)
            service = list(SERVICES)[entry.pick % len(SERVICES)]
            self._add_host(service, self._free_addresses.pop())

    def _inject_host_add(self, entry: Entry) -> None:
        self._add_host(list(SERVICES)[entry.pick % len(SERVICES)])

    def _inject_malformed(self, entry: Entry) -> None:
        values = (b"", b"[]", b'{"service":5}', b"\xff\xfe")
        value = values[entry.pick % len(values)]
        self._store.put(f"servers/i-bad{entry.pick % 9}", value)

    def _inject_configuration(self, entry: Entry) -> None:
        """Add a route or take one away, and see whether that comes into force."""
        extra = list(self._routes)[len(SERVICES) :]
        service = list(SERVICES)[entry.pick % len(SERVICES)]
        is_added = not extra or entry.pick % 3 > 0
        destination = self._add_route(service) if is_added else extra[0]
        if not is_added:
            del self._routes[destination]
        changed_at = self.promises.now
        self._put_configuration()
        gevent.sleep(IN_FORCE_SECONDS + 0.2)
        is_calm = self.promises.disturbed_until <= changed_at
        if not is_calm or (destination in self._routes) != is_added:
            return
        outcome = self._callers[0].open_flow(destination).open()
        self.promises.counts["configurations checked"] += 1
        expected = "open" if is_added else "reset"
        if outcome != expected and self.promises.is_calm:
            self.promises.break_(
                "configuration in force", expected=expected, got=outcome
            )

    def _watch_versions(self) -> None:
        """Check that no process goes back to an older configuration, for ever."""
        while True:
            for balancer in self._fleet.balancers:
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
