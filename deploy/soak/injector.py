"""Injects the faults and planned changes of a run, one method per schedule kind."""

import signal
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING

import data_centre_faults
import gevent
from backend_servers import N_SERVERS_BY_SERVICE, BackendServer
from fleet import Balancer
from proxy import LinkFault, PeerProxies, StreamProxy
from schedule import ScheduleEntry

if TYPE_CHECKING:
    from run import Run

SETTLING_SECONDS = 4.0
"""Time bounds are not enforced until this long after a fault ends."""

MAX_IN_FORCE_SECONDS = 3.0
"""A written configuration must be in force after this time."""

ADDRESS_REUSE_SECONDS = 2.0
"""Delay before an address is reused, as on the users' platform."""

DRAIN_SECONDS = 7.0
"""A draining backend server serves this long; flows last at most 5 s."""


MAX_REWRITE_SECONDS = 2.0
"""Longest time until the operator writes again what the store has lost."""

LEASE_SECONDS = 3.6
"""Time after which the record of a server that no longer writes is removed."""


ODD_ENTRY = """{{"service":"lookup","address":"127.0.0.1:9","zone":{zone},
"capacity":{capacity},"state":"ready","warmup_remaining_ms":0,"sequence":1,"born":1}}"""
MALFORMED_VALUES = (b"", b"[]", b'{"service":5}', b"\xff\xfe", b"[" * 50_000)
ODD_VALUES = (
    ODD_ENTRY.format(zone='"luzon-a"', capacity="9" * 400).encode(),
    ODD_ENTRY.format(zone='"\\ud83d"', capacity=2).encode(),
    ODD_ENTRY.format(zone='"luzon-a"', capacity=2).replace(":9", ":99999").encode(),
)
"""Records of another writer among those of the servers. The second kind ended the
forwarding of releases up to 77a4118."""


class Injector:
    """Executes the entries of a schedule.

    Parameters
    ----------
    run : Run
        Run into which faults and changes are injected.
    """

    def __init__(self, run: "Run") -> None:
        self._run = run

    def inject(self, entry: ScheduleEntry) -> None:
        """Execute one entry; returns when its fault or change has ended."""
        action: Callable[[ScheduleEntry], None] = getattr(self, f"_inject_{entry.kind}")
        self._run.monitor.counts[f"injected {entry.kind}"] += 1
        try:
            action(entry)
        except Exception as error:  # noqa: BLE001 - without the injection the run tests nothing
            self._run.monitor.record_violation(
                "injected", kind=entry.kind, error=repr(error)
            )

    def _extend_fault_window(self, seconds: float) -> None:
        self._run.monitor.extend_fault_window(seconds + SETTLING_SECONDS)

    def _pick_balancer(self, entry: ScheduleEntry) -> Balancer:
        balancers = self._run.fleet.balancers
        return balancers[entry.pick % len(balancers)]

    def _pick_backend_server(self, entry: ScheduleEntry) -> BackendServer | None:
        not_draining = [
            server
            for server in self._run.shared.backend_servers.values()
            if server.draining_since is None and server.unlisted_since is None
        ]
        n_by_service = Counter(server.service for server in not_draining)
        spare = [server for server in not_draining if n_by_service[server.service] > 2]
        return spare[entry.pick % len(spare)] if spare else None

    def _inject_kill(self, entry: ScheduleEntry) -> None:
        self._extend_fault_window(entry.seconds)
        self._run.fleet.restart(
            self._pick_balancer(entry), signal.SIGKILL, entry.seconds
        )

    def _inject_kill_all(self, entry: ScheduleEntry) -> None:
        self._extend_fault_window(entry.seconds)
        gevent.joinall(
            [
                gevent.spawn(
                    self._run.fleet.restart, balancer, signal.SIGKILL, entry.seconds
                )
                for balancer in self._run.fleet.balancers
            ]
        )

    def _inject_pause(self, entry: ScheduleEntry) -> None:
        self._extend_fault_window(entry.seconds)
        balancer = self._pick_balancer(entry)
        balancer.send_signal(signal.SIGSTOP)
        gevent.sleep(entry.seconds)
        balancer.send_signal(signal.SIGCONT)

    def _inject_roll(self, entry: ScheduleEntry) -> None:
        for balancer in self._run.fleet.balancers[:2]:
            self._run.fleet.restart(balancer, signal.SIGTERM, 0.3)
            gevent.sleep(1.0)

    def _inject_reload(self, entry: ScheduleEntry) -> None:
        self._pick_balancer(entry).send_signal(signal.SIGHUP)

    def _set_link_faults(
        self,
        entry: ScheduleEntry,
        proxies: Iterable[StreamProxy | PeerProxies],
        fault: LinkFault,
    ) -> None:
        """Apply a fault to links for the duration of an entry."""
        self._extend_fault_window(entry.seconds)
        for proxy in proxies:
            proxy.set_fault(fault)
        gevent.sleep(entry.seconds)
        for proxy in proxies:
            proxy.set_fault(LinkFault.NONE)

    def _set_store_link_fault(self, entry: ScheduleEntry, fault: LinkFault) -> None:
        self._set_link_faults(entry, [self._pick_balancer(entry).store_proxy], fault)

    def _inject_link_delay(self, entry: ScheduleEntry) -> None:
        self._set_store_link_fault(entry, LinkFault.DELAY)

    def _inject_link_reset(self, entry: ScheduleEntry) -> None:
        self._set_store_link_fault(entry, LinkFault.RESET)

    def _inject_link_one_way(self, entry: ScheduleEntry) -> None:
        self._set_store_link_fault(entry, LinkFault.ONE_WAY)

    def _inject_link_silent(self, entry: ScheduleEntry) -> None:
        self._set_store_link_fault(entry, LinkFault.SILENT)

    def _set_peer_link_fault(self, entry: ScheduleEntry, fault: LinkFault) -> None:
        self._set_link_faults(entry, [self._pick_balancer(entry).peer_proxies], fault)

    def _inject_peers_delay(self, entry: ScheduleEntry) -> None:
        self._set_peer_link_fault(entry, LinkFault.DELAY)

    def _inject_peers_reset(self, entry: ScheduleEntry) -> None:
        self._set_peer_link_fault(entry, LinkFault.RESET)

    def _inject_peers_one_way(self, entry: ScheduleEntry) -> None:
        self._set_peer_link_fault(entry, LinkFault.ONE_WAY)

    def _inject_peers_silent(self, entry: ScheduleEntry) -> None:
        self._set_peer_link_fault(entry, LinkFault.SILENT)

    def _inject_cut_off(self, entry: ScheduleEntry) -> None:
        """Isolate one balancer from callers, routers, the store and its peers."""
        balancer = self._pick_balancer(entry)
        balancer.is_cut_off = True
        proxies = (balancer.store_proxy, balancer.peer_proxies)
        self._set_link_faults(entry, proxies, LinkFault.SILENT)
        balancer.is_cut_off = False

    def _set_store_fault(self, entry: ScheduleEntry, name: str, value: object) -> None:
        self._extend_fault_window(entry.seconds)
        default = getattr(type(self._run.store.faults)(), name)
        setattr(self._run.store.faults, name, value)
        gevent.sleep(entry.seconds)
        setattr(self._run.store.faults, name, default)

    def _inject_store_down(self, entry: ScheduleEntry) -> None:
        if entry.pick % 2:
            self._run.store.revoke("servers/")
        self._set_store_fault(entry, "is_down", True)

    def _inject_store_slow(self, entry: ScheduleEntry) -> None:
        self._set_store_fault(entry, "delay_seconds", 0.24)

    def _inject_store_lost(self, entry: ScheduleEntry) -> None:
        self._set_store_fault(entry, "lost_response_share", 0.5)

    def _inject_store_compact(self, entry: ScheduleEntry) -> None:
        self._extend_fault_window(0.0)
        self._run.store.compact()

    def _inject_store_restore(self, entry: ScheduleEntry) -> None:
        """Let the store be away and return from a copy up to 10 s old."""
        store = self._run.store
        random = Random(entry.pick)
        self._set_store_fault(entry, "is_down", True)
        self._extend_fault_window(MAX_REWRITE_SECONDS)
        store.restore(random.uniform(0.5, 10.0))
        gevent.sleep(random.uniform(0.0, MAX_REWRITE_SECONDS))
        self._run.write_configuration_again()
        if self._run.evacuations is not None:
            self._run.evacuations.write_again(self._run.data_centres)
        gevent.sleep(LEASE_SECONDS)
        for key in list(store.items):
            name = key.removeprefix("servers/")
            if name != key and name not in self._run.shared.backend_servers:
                store.delete(key)

    def _inject_evacuation(self, entry: ScheduleEntry) -> None:
        data_centre_faults.evacuate(self._run, entry)

    def _inject_data_centre_cut_off(self, entry: ScheduleEntry) -> None:
        self._extend_fault_window(entry.seconds)
        data_centre_faults.cut_off(self._run, entry)

    def _inject_servers_restart(self, entry: ScheduleEntry) -> None:
        data_centre_faults.restart_servers(self._run, entry)

    def _inject_store_revoke(self, entry: ScheduleEntry) -> None:
        self._run.store.revoke("stoattray/members/")

    def _inject_host_drain(self, entry: ScheduleEntry) -> None:
        server = self._pick_backend_server(entry)
        if server is None or self._run.store.faults.is_down:
            return
        self._run.add_backend_server(server.service)
        server.drain()
        gevent.sleep(DRAIN_SECONDS)
        server.stop()
        self._run.free_addresses.append(server.address)

    def _inject_host_unlisted(self, entry: ScheduleEntry) -> None:
        server = self._pick_backend_server(entry)
        if server is None or self._run.store.faults.is_down:
            return
        self._run.add_backend_server(server.service)
        server.unlist()
        gevent.sleep(entry.seconds)
        server.stop()

    def _inject_host_crash(self, entry: ScheduleEntry) -> None:
        server = self._pick_backend_server(entry)
        if server is None:
            return
        server.stop(keeps_record=True)
        gevent.sleep(1.5)
        self._run.store.delete(f"servers/{server.name}")
        self._run.add_backend_server(server.service)

    def _inject_host_reuse(self, entry: ScheduleEntry) -> None:
        if self._run.free_addresses:
            address = self._run.free_addresses.pop()
            gevent.sleep(ADDRESS_REUSE_SECONDS)
            service = list(N_SERVERS_BY_SERVICE)[entry.pick % len(N_SERVERS_BY_SERVICE)]
            self._run.add_backend_server(service, address)

    def _inject_host_add(self, entry: ScheduleEntry) -> None:
        self._run.add_backend_server(
            list(N_SERVERS_BY_SERVICE)[entry.pick % len(N_SERVERS_BY_SERVICE)]
        )

    def _inject_malformed(self, entry: ScheduleEntry) -> None:
        values = MALFORMED_VALUES
        if not self._run.has_earlier_build:
            values += ODD_VALUES
        value = values[entry.pick % len(values)]
        self._run.store.put(f"servers/i-bad{entry.pick % 9}", value)

    def _inject_configuration(self, entry: ScheduleEntry) -> None:
        """Add or remove a route, and check that the change comes into force."""
        extra_routes = list(self._run.routes)[len(N_SERVERS_BY_SERVICE) :]
        service = list(N_SERVERS_BY_SERVICE)[entry.pick % len(N_SERVERS_BY_SERVICE)]
        is_added = not extra_routes or entry.pick % 3 > 0
        destination = self._run.declare_route(service) if is_added else extra_routes[0]
        if not is_added:
            del self._run.routes[destination]
        changed_at = self._run.monitor.elapsed_seconds
        self._run.write_configuration()
        gevent.sleep(MAX_IN_FORCE_SECONDS + 0.2)
        is_settled = self._run.monitor.fault_window_ends_at <= changed_at
        if not is_settled or (destination in self._run.routes) != is_added:
            return
        if is_added and not self._run.has_usable_server(service):
            return
        outcome = self._run.callers[0].create_flow(destination).open()
        self._run.monitor.counts["configurations checked"] += 1
        expected = "open" if is_added else "reset"
        if outcome != expected and self._run.monitor.is_settled:
            self._run.monitor.record_violation(
                "configuration in force", expected=expected, got=outcome
            )
