"""Faults and planned changes of a run, one method for each kind of the schedule."""

import signal
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import gevent
from fleet import Balancer
from hosts import SERVICES, Host
from proxy import LinkFault, LinkProxy, PeerLinks
from schedule import Entry

if TYPE_CHECKING:
    from run import Run

SETTLE_SECONDS = 4.0
"""How long after a fault bounds in time do not hold yet."""

IN_FORCE_SECONDS = 3.0
REUSE_SECONDS = 2.0
"""How long an address rests before another host gets it, as on the users' platform."""

DRAIN_SECONDS = 7.0
"""How long a leaving host goes on serving; flows are at most 5 s long."""


class Injections:
    """Carries out the entries of a schedule.

    Parameters
    ----------
    run : Run
        What is harmed and changed.
    """

    def __init__(self, run: "Run") -> None:
        self._run = run

    def inject(self, entry: Entry) -> None:
        """Carry out one entry, to its end."""
        action: Callable[[Entry], None] = getattr(self, f"_inject_{entry.kind}")
        self._run.promises.counts[f"injected {entry.kind}"] += 1
        try:
            action(entry)
        except Exception as error:  # noqa: BLE001 - a run without it proves nothing
            self._run.promises.break_("injected", kind=entry.kind, error=repr(error))

    def _disturb(self, seconds: float) -> None:
        self._run.promises.disturb(seconds + SETTLE_SECONDS)

    def _pick(self, entry: Entry) -> Balancer:
        balancers = self._run.fleet.balancers
        return balancers[entry.pick % len(balancers)]

    def _pick_host(self, entry: Entry) -> Host | None:
        usable = [h for h in self._run.world.hosts.values() if h.draining_since is None]
        by_service = Counter(host.service for host in usable)
        spare = [host for host in usable if by_service[host.service] > 2]
        return spare[entry.pick % len(spare)] if spare else None

    def _inject_kill(self, entry: Entry) -> None:
        self._disturb(entry.seconds)
        self._run.fleet.restart(self._pick(entry), signal.SIGKILL, entry.seconds)

    def _inject_kill_all(self, entry: Entry) -> None:
        self._disturb(entry.seconds)
        gevent.joinall(
            [
                gevent.spawn(
                    self._run.fleet.restart, balancer, signal.SIGKILL, entry.seconds
                )
                for balancer in self._run.fleet.balancers
            ]
        )

    def _inject_pause(self, entry: Entry) -> None:
        self._disturb(entry.seconds)
        balancer = self._pick(entry)
        balancer.send(signal.SIGSTOP)
        gevent.sleep(entry.seconds)
        balancer.send(signal.SIGCONT)

    def _inject_roll(self, entry: Entry) -> None:
        for balancer in self._run.fleet.balancers[:2]:
            self._run.fleet.restart(balancer, signal.SIGTERM, 0.3)
            gevent.sleep(1.0)

    def _inject_reload(self, entry: Entry) -> None:
        self._pick(entry).send(signal.SIGHUP)

    def _set_links(
        self, entry: Entry, links: Iterable[LinkProxy | PeerLinks], fault: LinkFault
    ) -> None:
        """Let links do wrong for as long as an entry says."""
        self._disturb(entry.seconds)
        for link in links:
            link.set_fault(fault)
        gevent.sleep(entry.seconds)
        for link in links:
            link.set_fault(LinkFault.NONE)

    def _set_link(self, entry: Entry, fault: LinkFault) -> None:
        self._set_links(entry, [self._pick(entry).link], fault)

    def _inject_link_delay(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.DELAY)

    def _inject_link_reset(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.RESET)

    def _inject_link_one_way(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.ONE_WAY)

    def _inject_link_silent(self, entry: Entry) -> None:
        self._set_link(entry, LinkFault.SILENT)

    def _set_peers(self, entry: Entry, fault: LinkFault) -> None:
        self._set_links(entry, [self._pick(entry).peer_links], fault)

    def _inject_peers_delay(self, entry: Entry) -> None:
        self._set_peers(entry, LinkFault.DELAY)

    def _inject_peers_reset(self, entry: Entry) -> None:
        self._set_peers(entry, LinkFault.RESET)

    def _inject_peers_one_way(self, entry: Entry) -> None:
        self._set_peers(entry, LinkFault.ONE_WAY)

    def _inject_peers_silent(self, entry: Entry) -> None:
        self._set_peers(entry, LinkFault.SILENT)

    def _inject_cut_off(self, entry: Entry) -> None:
        """Cut one balancer off from callers, routers, the store and its peers."""
        balancer = self._pick(entry)
        balancer.is_cut_off = True
        links = (balancer.link, balancer.peer_links)
        self._set_links(entry, links, LinkFault.SILENT)
        balancer.is_cut_off = False

    def _with_store(self, entry: Entry, name: str, value: object) -> None:
        self._disturb(entry.seconds)
        usual = getattr(type(self._run.store.faults)(), name)
        setattr(self._run.store.faults, name, value)
        gevent.sleep(entry.seconds)
        setattr(self._run.store.faults, name, usual)

    def _inject_store_down(self, entry: Entry) -> None:
        if entry.pick % 2:
            self._run.store.revoke("servers/")
        self._with_store(entry, "is_down", True)

    def _inject_store_slow(self, entry: Entry) -> None:
        self._with_store(entry, "delay_seconds", 0.24)

    def _inject_store_lost(self, entry: Entry) -> None:
        self._with_store(entry, "lost_answers", 0.5)

    def _inject_store_compact(self, entry: Entry) -> None:
        self._disturb(0.0)
        self._run.store.compact()

    def _inject_store_revoke(self, entry: Entry) -> None:
        self._run.store.revoke("stoattray/members/")

    def _inject_host_drain(self, entry: Entry) -> None:
        host = self._pick_host(entry)
        if host is None or self._run.store.faults.is_down:
            return
        self._run.add_host(host.service)
        host.drain()
        gevent.sleep(DRAIN_SECONDS)
        host.stop()
        self._run.free_addresses.append(host.address)

    def _inject_host_crash(self, entry: Entry) -> None:
        host = self._pick_host(entry)
        if host is None:
            return
        host.stop(is_registered_on=True)
        gevent.sleep(1.5)
        self._run.store.delete(f"servers/{host.name}")
        self._run.add_host(host.service)

    def _inject_host_reuse(self, entry: Entry) -> None:
        if self._run.free_addresses:
            address = self._run.free_addresses.pop()
            gevent.sleep(REUSE_SECONDS)
            service = list(SERVICES)[entry.pick % len(SERVICES)]
            self._run.add_host(service, address)

    def _inject_host_add(self, entry: Entry) -> None:
        self._run.add_host(list(SERVICES)[entry.pick % len(SERVICES)])

    def _inject_malformed(self, entry: Entry) -> None:
        values = (b"", b"[]", b'{"service":5}', b"\xff\xfe")
        value = values[entry.pick % len(values)]
        self._run.store.put(f"servers/i-bad{entry.pick % 9}", value)

    def _inject_configuration(self, entry: Entry) -> None:
        """Add a route or take one away, and see whether that comes into force."""
        extra = list(self._run.routes)[len(SERVICES) :]
        service = list(SERVICES)[entry.pick % len(SERVICES)]
        is_added = not extra or entry.pick % 3 > 0
        destination = self._run.add_route(service) if is_added else extra[0]
        if not is_added:
            del self._run.routes[destination]
        changed_at = self._run.promises.now
        self._run.put_configuration()
        gevent.sleep(IN_FORCE_SECONDS + 0.2)
        is_calm = self._run.promises.disturbed_until <= changed_at
        if not is_calm or (destination in self._run.routes) != is_added:
            return
        outcome = self._run.callers[0].open_flow(destination).open()
        self._run.promises.counts["configurations checked"] += 1
        expected = "open" if is_added else "reset"
        if outcome != expected and self._run.promises.is_calm:
            self._run.promises.break_(
                "configuration in force", expected=expected, got=outcome
            )
