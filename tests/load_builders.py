"""A small fleet under load, without network: balancers, hosts and callers on one clock.

Time goes in steps of 1 ms. Callers open a flow each, ask once and leave; they repeat an
opening and give it up as on the users' platform. Hosts work on two requests at once, in
order, and may be dark, slow, failing or cold.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.servers import ServerRow
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    START,
    Balancer,
    configuration,
    following,
    heartbeat,
    opening,
    server_entry,
)

DATA_CENTRES = ("luzon-a", "luzon-b")
WORK = 25
AIM = 120
N_SLOTS = 2
MAX_QUEUE = 8
FAIL_MILLIS = 1
NEAR_MILLIS = 1
FAR_MILLIS = 2
HEARTBEAT_MILLIS = 200
REPEAT_MILLIS = (200, 600)
GIVE_UP_MILLIS = 1_400


class Host:
    """One backend server as it really is, whatever its entry says.

    Attributes
    ----------
    is_dark : bool
        Whether nothing that is sent to it is answered.
    pace : float
        Time that a request takes, in multiples of the usual.
    fail_share : float
        Share of requests that it fails at once.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.is_dark = False
        self.pace = 1.0
        self.fail_share = 0.0
        self.free_at = [START] * N_SLOTS

    def work(self, now: int, random: Random) -> tuple[int, bool]:
        """Take a request; return when it is answered and whether it was served."""
        slot = self.free_at.index(min(self.free_at))
        waiting = self.free_at[slot] - now
        is_full = waiting > MAX_QUEUE / N_SLOTS * WORK * self.pace
        if is_full or random.random() < self.fail_share:
            return now + FAIL_MILLIS, False
        millis = max(2, round(random.gauss(1.0, 0.3) * WORK * self.pace))
        self.free_at[slot] = max(self.free_at[slot], now) + millis
        return self.free_at[slot], True


class Outcome(NamedTuple):
    """How one flow ended: where, when, whether it was served, and in how long."""

    opened_at: int
    data_centre: str
    host: str | None
    is_served: bool
    millis: int


class Load:
    """A fleet, its hosts and its callers.

    Parameters
    ----------
    n_hosts : int
        Hosts of each data centre.
    n_balancers : int
        Balancers of each data centre.
    seed : int
        Seed of everything that is drawn.
    """

    def __init__(
        self, *, n_hosts: int = 6, n_balancers: int = 2, seed: int = 1
    ) -> None:
        self.random = Random(seed)
        self.now = START
        self.hosts: dict[str, Host] = {}
        self.balancers = {
            data_centre: [
                Balancer(
                    f"edge-{data_centre[-1]}{n}", data_centre, self.random.random()
                )
                for n in range(n_balancers)
            ]
            for data_centre in DATA_CENTRES
        }
        self.rates = dict.fromkeys(DATA_CENTRES, 0.0)
        self.unheard: set[str] = set()
        self.delays: dict[str, int] = {}
        self.cut_off: set[str] = set()
        self.outcomes: list[Outcome] = []
        self.refusals: Counter[str] = Counter()
        self._port = 10_000
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._n_due = 0
        self._flows: dict[int, _Flow] = {}
        route = Route(
            "check", LOOKUP_DESTINATION, (("lookup", 1),), RequestKind.IDEMPOTENT, AIM
        )
        self.declare(configuration(routes={route.destination: route}))
        for data_centre in DATA_CENTRES:
            for _ in range(n_hosts):
                self.add_host(data_centre)

    @property
    def capacity(self) -> float:
        """Return the flows a millisecond that all hosts can do."""
        return len(self.hosts) * N_SLOTS / WORK

    @property
    def everyone(self) -> list[Balancer]:
        """Return all balancers."""
        return [b for balancers in self.balancers.values() for b in balancers]

    def declare(self, *entries: object) -> None:
        """Let the store tell all balancers of entries."""
        for balancer in self.everyone:
            balancer.now = self.now
            balancer.declare(*entries)

    def add_host(self, data_centre: str, *, warmup: int = 0) -> Host:
        """Start a host and register it."""
        host = Host(f"i-{len(self.hosts) + 1:02x}", data_centre)
        self.hosts[host.name] = host
        self.declare(self.entry(host, warmup=warmup))
        return host

    def entry(self, host: Host, **changes: object) -> object:
        """Return the entry of a host."""
        return server_entry(host.name, data_centre=host.data_centre, **changes)

    def some_hosts(self, share: float) -> list[Host]:
        """Return a share of the hosts, spread over the data centres."""
        hosts = list(self.hosts.values())
        step = round(1 / share)
        return hosts[::step]

    def set_load(self, load: float, *, only: str | None = None) -> None:
        """Let callers come at a multiple of what all hosts can do."""
        for data_centre in DATA_CENTRES:
            share = 1 / len(DATA_CENTRES) if only is None else data_centre == only
            self.rates[data_centre] = load * self.capacity * share

    def play(self, millis: int) -> list[Outcome]:
        """Let time go on; return the flows that were opened meanwhile."""
        began, ends = self.now, self.now + millis
        while self.now < ends:
            self._step()
        self._finish()
        return [found for found in self.outcomes if began <= found.opened_at < ends]

    def after(self, millis: int, action: Callable[[], None]) -> None:
        """Do something later."""
        self._n_due += 1
        heapq.heappush(self._due, (self.now + millis, self._n_due, action))

    def is_reachable(self, balancer: Balancer, host: Host) -> bool:
        """Return whether packets pass between a balancer and a host."""
        ends = {balancer.own.data_centre, host.data_centre}
        return len(ends) == 1 or not ends & self.cut_off

    def _finish(self) -> None:
        """Let the open flows end, without new ones."""
        rates, self.rates = self.rates, dict.fromkeys(DATA_CENTRES, 0.0)
        while self._flows:
            self._step()
        self.rates = rates

    def _step(self) -> None:
        self.now += 1
        for balancer in self.everyone:
            balancer.now = self.now
        self._run_due()
        for data_centre, rate in self.rates.items():
            for _ in range(int(rate) + (self.random.random() < rate % 1)):
                self._open(data_centre)
        for balancer in self.everyone:
            for server, data in list(balancer.steering.tick(self.now)):
                flow = self._flows.get(int(data.split()[1]))
                if flow is not None:
                    flow.reach(server)
        if self.now % HEARTBEAT_MILLIS == 0:
            self._tell()
        if self.now % 1_000 == 0:
            for balancer in self.everyone:
                balancer.steering.clean_up(self.now)

    def _run_due(self) -> None:
        while self._due and self._due[0][0] <= self.now:
            heapq.heappop(self._due)[2]()

    def _open(self, data_centre: str) -> None:
        self._port += 1
        balancer = self.random.choice(self.balancers[data_centre])
        flow = _Flow(self, balancer, self._port, data_centre)
        self._flows[self._port] = flow
        flow.open(0)
        self._run_due()

    def _tell(self) -> None:
        """Let balancers hear of each other, but for those that are unheard."""
        for balancer in self.everyone:
            own = balancer.own
            if own.name in self.unheard:
                continue
            beat = heartbeat(
                member=own,
                revision=balancer.steering.replica.revision,
                n_asked=balancer.steering.unanswered_requests(),
                failing=balancer.steering.failing(self.now),
            )
            for other in self.everyone:
                if other is not balancer and (other.own.name not in self.unheard):
                    other.steering.take_heartbeat(beat, self.now)

    def end(self, flow: "_Flow", *, is_served: bool) -> None:
        """Note how a flow ended."""
        del self._flows[flow.port]
        self.outcomes.append(
            Outcome(
                flow.opened_at,
                flow.data_centre,
                None if flow.host is None else flow.host.name,
                is_served,
                self.now - flow.opened_at,
            )
        )


class _Flow:
    """One flow from its caller's view."""

    def __init__(
        self, load: Load, balancer: Balancer, port: int, data_centre: str
    ) -> None:
        self.load = load
        self.balancer = balancer
        self.port = port
        self.data_centre = data_centre
        self.opened_at = load.now
        self.host: Host | None = None
        self.is_over = False

    def open(self, n_copy: int) -> None:
        """Send the opening packet, or a copy of it."""
        if self.host is not None or self.is_over:
            return
        delay = self.load.delays.get(self.balancer.own.name, 0)
        self.load.after(delay, lambda: self._opened(n_copy))
        if n_copy < len(REPEAT_MILLIS):
            wait = REPEAT_MILLIS[n_copy] - (self.load.now - self.opened_at)
            self.load.after(max(1, wait), lambda: self.open(n_copy + 1))
        else:
            wait = GIVE_UP_MILLIS - (self.load.now - self.opened_at)
            self.load.after(wait, self._give_up)

    def _opened(self, n_copy: int) -> None:
        """Let the balancer take the opening packet, at its own pace."""
        packet = opening(self.port, n_copy=n_copy)
        server = self.balancer.steering.route_packet(packet, self.load.now)
        if isinstance(server, Refused):
            self.load.refusals[server.kind] += 1
            if n_copy == 0:
                self._end(is_served=False)
            return
        self.reach(server)

    def reach(self, server: ServerRow) -> None:
        """Let an opening arrive at a host, which answers unless it is dark."""
        host = self.load.hosts[server.name]
        is_there = not host.is_dark and self.load.is_reachable(self.balancer, host)
        if is_there:
            is_local = host.data_centre == self.data_centre
            wait = NEAR_MILLIS if is_local else FAR_MILLIS
            self.load.after(2 * wait, lambda: self._ask(host, server.cookie))

    def _ask(self, host: Host, cookie: int) -> None:
        if self.host is not None or self.is_over:
            return
        self.host = host
        self._follow(cookie)
        self._follow(cookie, has_data=True)
        if host.is_dark:
            self.load.after(GIVE_UP_MILLIS, self._give_up)
            return
        ends, is_served = host.work(self.load.now, self.load.random)
        wait = ends - self.load.now
        self.load.after(wait, lambda: self._answered(cookie, is_served=is_served))

    def _answered(self, cookie: int, *, is_served: bool) -> None:
        self._follow(cookie)
        self._follow(cookie, is_ending=True)
        self._end(is_served=is_served)

    def _follow(self, cookie: int, **changes: object) -> None:
        packet = following(self.port, cookie, **changes)
        delay = self.load.delays.get(self.balancer.own.name, 0)
        self.load.after(
            delay,
            lambda: self.balancer.steering.route_packet(packet, self.load.now),
        )

    def _give_up(self) -> None:
        if self.host is None or self.host.is_dark:
            self._end(is_served=False)

    def _end(self, *, is_served: bool) -> None:
        if not self.is_over:
            self.is_over = True
            self.load.end(self, is_served=is_served)
