"""Simulation of a small fleet under load, without network.

The clock advances in steps of 1 ms. Each caller opens a flow, sends one request and
ends the flow; it retransmits and gives up openings as on the users' platform, and may
retry a failed request. Hosts serve a few requests at once, in order, and may be
unresponsive, slow, failing or warming up. Balancers may lose power.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

from stoattray_core._errors import ERROR_RESPONSES, PacketResponse
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.warm_up_budget import WarmUpBounds
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    START_MILLIS,
    Balancer,
    configuration,
    following,
    heartbeat,
    opening,
    server_entry,
)

DATA_CENTRES = ("luzon-a", "luzon-b")
SERVICE_MILLIS = 25
TARGET_LATENCY_MILLIS = 120
FAILED_RESPONSE_MILLIS = 1
LOCAL_ONE_WAY_MILLIS = 1
REMOTE_ONE_WAY_MILLIS = 2
HEARTBEAT_INTERVAL_MILLIS = 200
REMOTE_TURN = 3
"""One in this many heartbeats also goes to other data centres."""

RETRANSMIT_MILLIS = (200, 600)
GIVE_UP_MILLIS = 1_400
RETRY_MILLIS = 6
"""Time until a caller retries a refused or failed request: a round trip."""


class Workload(NamedTuple):
    """Requests, their callers and the hosts' capacity.

    Parameters
    ----------
    service_millis : int
        Mean service time.
    target_millis : int
        Target latency of the route.
    n_slots : int
        Requests that a host serves at once.
    max_queue : int
        Requests that wait at a host before it refuses further ones.
    n_retries : int
        Further tries of a caller whose request failed.
    deadline_millis : int
        Time after which a caller does not try again.
    """

    service_millis: int = SERVICE_MILLIS
    target_millis: int = TARGET_LATENCY_MILLIS
    n_slots: int = 2
    max_queue: int = 8
    n_retries: int = 0
    deadline_millis: int = 2_500


class Layout(NamedTuple):
    """Data centres, and the messages between balancers.

    Parameters
    ----------
    data_centres : tuple of str
        Their names.
    remote_one_way_millis : int
        One-way delay between callers and hosts of two data centres.
    samples_targets : bool
        Whether heartbeats go to a sample of members, as in the real process; they go to
        all others if not.
    remote_traffic : RemoteTrafficSettings or None
        Settings of all balancers.
    """

    data_centres: tuple[str, ...] = DATA_CENTRES
    remote_one_way_millis: int = REMOTE_ONE_WAY_MILLIS
    samples_targets: bool = False
    remote_traffic: RemoteTrafficSettings | None = None


class Host:
    """Actual state of one backend server, independent of its entry in the store.

    Attributes
    ----------
    is_unresponsive : bool
        Whether it answers nothing.
    slowdown : float
        Service time in multiples of the workload's.
    failure_rate : float
        Share of requests that fail at once.
    openings_at : list of int
        When opening packets arrived.
    """

    def __init__(self, name: str, data_centre: str, workload: Workload) -> None:
        self.name = name
        self.data_centre = data_centre
        self.workload = workload
        self.is_unresponsive = False
        self.slowdown = 1.0
        self.failure_rate = 0.0
        self.openings_at: list[int] = []
        self.free_at = [START_MILLIS] * workload.n_slots

    def serve(self, now: int, random: Random) -> tuple[int, bool]:
        """Queue a request; return when it is answered and whether it is served."""
        slot = self.free_at.index(min(self.free_at))
        queue_millis = self.free_at[slot] - now
        mean_millis = self.workload.service_millis * self.slowdown
        max_queue_per_slot = self.workload.max_queue / self.workload.n_slots
        is_full = queue_millis > max_queue_per_slot * mean_millis
        if is_full or random.random() < self.failure_rate:
            return now + FAILED_RESPONSE_MILLIS, False
        millis = max(2, round(random.gauss(1.0, 0.3) * mean_millis))
        self.free_at[slot] = max(self.free_at[slot], now) + millis
        return self.free_at[slot], True


class Outcome(NamedTuple):
    """Result of one request; `millis` is the time from its first try to its end."""

    opened_at: int
    data_centre: str
    host: str | None
    is_served: bool
    millis: int


class SimulatedFleet:
    """Simulated fleet with its hosts and callers.

    Parameters
    ----------
    n_hosts : int
        Hosts of each data centre.
    n_balancers : int
        Balancers of each data centre.
    seed : int
        Seed of all random choices.
    workload : Workload
        Requests and the hosts' capacity.
    warm_up_bounds : WarmUpBounds or None
        Allowance for cold hosts; None if openings for them are not limited.
    layout : Layout
        Data centres, and the messages between balancers.
    """

    def __init__(
        self,
        *,
        n_hosts: int = 6,
        n_balancers: int = 2,
        seed: int = 1,
        workload: Workload | None = None,
        warm_up_bounds: WarmUpBounds | None = None,
        layout: Layout | None = None,
    ) -> None:
        self.layout = layout or Layout()
        self.random = Random(seed)
        self.now = START_MILLIS
        self.workload = workload or Workload()
        self.hosts: dict[str, Host] = {}
        self.balancers = {
            data_centre: [
                Balancer(
                    f"edge-{data_centre[-1]}{n}",
                    data_centre,
                    self.random.random(),
                    warm_up_bounds=warm_up_bounds,
                    remote_traffic=self.layout.remote_traffic,
                )
                for n in range(n_balancers)
            ]
            for data_centre in self.layout.data_centres
        }
        self.rates = dict.fromkeys(self.layout.data_centres, 0.0)
        self.isolated: set[str] = set()
        self.processing_delays: dict[str, int] = {}
        self.cut_off: set[str] = set()
        self.starting: dict[str, list[Callable[[], None]] | None] = {}
        self.outcomes: list[Outcome] = []
        self.refusals: Counter[str] = Counter()
        self._port = 10_000
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._n_scheduled = 0
        self._flows: dict[int, _Flow] = {}
        self.n_retrying = 0
        self.declare(
            configuration(routes={route.destination: route for route in self.routes()})
        )
        if self.layout.samples_targets:
            self._discover_members()
        for data_centre in self.layout.data_centres:
            for _ in range(n_hosts):
                self.add_host(data_centre)

    def routes(self) -> list[Route]:
        """Return the routes of the configuration."""
        return [
            Route(
                "check",
                LOOKUP_DESTINATION,
                (("lookup", 1),),
                RequestKind.IDEMPOTENT,
                self.workload.target_millis,
                timeout_millis=self.workload.deadline_millis,
            )
        ]

    def packet_fields(self, flow: "_Flow") -> dict[str, object]:
        """Return the fields of a flow's packets that differ from the defaults."""
        return {}

    @property
    def capacity(self) -> float:
        """Return the number of flows per millisecond that all hosts can serve."""
        n_slots = len(self.hosts) * self.workload.n_slots
        return n_slots / self.workload.service_millis

    @property
    def all_balancers(self) -> list[Balancer]:
        """Return all balancers."""
        return [b for balancers in self.balancers.values() for b in balancers]

    @property
    def running_balancers(self) -> list[Balancer]:
        """Return the balancers that are neither without power nor starting."""
        return [b for b in self.all_balancers if b.own.name not in self.starting]

    def _discover_members(self) -> None:
        """Let all balancers know each other, as they are listed in the store."""
        for balancer in self.all_balancers:
            for other in self.all_balancers:
                balancer.steering.members.discover(other.own, self.now)

    def declare(self, *entries: object) -> None:
        """Apply entries of the store at all balancers."""
        for balancer in self.all_balancers:
            balancer.now = self.now
            balancer.declare(*entries)

    def add_host(self, data_centre: str, *, warmup: int = 0) -> Host:
        """Start a host and register it."""
        host = Host(f"i-{len(self.hosts) + 1:02x}", data_centre, self.workload)
        self.hosts[host.name] = host
        self.declare(self.entry(host, warmup_remaining_millis=warmup))
        return host

    def entry(self, host: Host, **changes: object) -> object:
        """Return the entry of a host."""
        values = {"capacity": self.workload.n_slots, **changes}
        return server_entry(host.name, data_centre=host.data_centre, **values)

    def power_off_balancers(self, *, down_millis: int, startup_millis: int) -> None:
        """Cut the power of all balancers; packets sent meanwhile are lost.

        Parameters
        ----------
        down_millis : int
            Time without power.
        startup_millis : int
            Time from then until the balancers are ready; packets queue meanwhile.
        """
        for data_centre, balancers in self.balancers.items():
            for index, balancer in enumerate(balancers):
                self.starting[balancer.own.name] = None
                self.schedule(
                    down_millis, partial(self._start_balancer, data_centre, index)
                )
                self.schedule(
                    down_millis + startup_millis,
                    partial(self._finish_start, data_centre, index),
                )

    def move_flows(self) -> None:
        """Let routers send the packets of open flows to other balancers."""
        for flow in self._flows.values():
            n_balancers = len(self.balancers[flow.data_centre])
            flow.balancer_index = self.random.randrange(n_balancers)

    def _start_balancer(self, data_centre: str, index: int) -> None:
        balancers = self.balancers[data_centre]
        balancers[index] = balancers[index].restarted(self.random.random())
        balancers[index].now = self.now
        self.starting[balancers[index].own.name] = []

    def _finish_start(self, data_centre: str, index: int) -> None:
        balancer = self.balancers[data_centre][index]
        balancer.steering.exclude_backlog(self.now)
        for deliver in self.starting.pop(balancer.own.name) or []:
            deliver()

    def deliver_to_balancer(self, name: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet, queue it while the balancer starts, or lose it."""
        queue = self.starting.get(name)
        if name not in self.starting:
            deliver()
        elif queue is not None:
            queue.append(deliver)

    def sample_hosts(self, share: float) -> list[Host]:
        """Return a share of the hosts, spread over the data centres."""
        hosts = list(self.hosts.values())
        step = round(1 / share)
        return hosts[::step]

    def set_load(self, load: float, *, only: str | None = None) -> None:
        """Set the rate of new flows, as a multiple of the capacity of all hosts."""
        for data_centre in self.rates:
            share = 1 / len(self.rates) if only is None else data_centre == only
            self.rates[data_centre] = load * self.capacity * share

    def run(self, millis: int) -> list[Outcome]:
        """Run for `millis`; return the outcomes of the flows opened meanwhile."""
        start, end = self.now, self.now + millis
        while self.now < end:
            self.step()
        self._finish()
        return [
            outcome for outcome in self.outcomes if start <= outcome.opened_at < end
        ]

    def schedule(self, millis: int, action: Callable[[], None]) -> None:
        """Run `action` after `millis`."""
        self._n_scheduled += 1
        heapq.heappush(self._scheduled, (self.now + millis, self._n_scheduled, action))

    def is_reachable(self, balancer: Balancer, host: Host) -> bool:
        """Return whether packets pass between a balancer and a host."""
        data_centres = {balancer.own.data_centre, host.data_centre}
        return len(data_centres) == 1 or not data_centres & self.cut_off

    def _finish(self) -> None:
        """Run until all open flows have ended, without opening new ones."""
        rates, self.rates = self.rates, dict.fromkeys(self.rates, 0.0)
        while self._flows or self.n_retrying:
            self.step()
        self.rates = rates

    def step(self) -> None:
        """Advance the clock by 1 ms."""
        self.now += 1
        for balancer in self.all_balancers:
            balancer.now = self.now
        self._run_scheduled()
        for data_centre, rate in self.rates.items():
            for _ in range(int(rate) + (self.random.random() < rate % 1)):
                self._open(data_centre)
        for balancer in self.running_balancers:
            for server, data in list(balancer.steering.tick(self.now)):
                flow = self._flows.get(int(data.split()[1]))
                if flow is not None:
                    flow.deliver(server)
        if self.now % HEARTBEAT_INTERVAL_MILLIS == 0:
            self._exchange_heartbeats()
        if self.now % 1_000 == 0:
            for balancer in self.running_balancers:
                balancer.steering.remove_expired(self.now)

    def _run_scheduled(self) -> None:
        while self._scheduled and self._scheduled[0][0] <= self.now:
            heapq.heappop(self._scheduled)[2]()

    def _open(self, data_centre: str) -> None:
        self.open_flow(_Request(data_centre, self.now))
        self._run_scheduled()

    def open_flow(self, request: "_Request") -> None:
        """Open a flow for one try of a request, from a new port."""
        self._port += 1
        index = self.random.randrange(len(self.balancers[request.data_centre]))
        flow = _Flow(self, index, self._port, request)
        self._flows[self._port] = flow
        flow.open(0)

    def _exchange_heartbeats(self) -> None:
        """Exchange heartbeats between all balancers that are not isolated."""
        for balancer in self.running_balancers:
            own = balancer.own
            if own.name in self.isolated:
                continue
            is_remote_turn = self.now // HEARTBEAT_INTERVAL_MILLIS % REMOTE_TURN == 0
            message = heartbeat(
                member=own,
                revision=balancer.steering.replica.revision,
                pending_requests=balancer.steering.pending_requests(),
                failing_cookies=balancer.steering.failing_cookies(self.now),
                cut_offs=balancer.steering.cut_off_reports(self.now),
                load_rows=(
                    balancer.steering.load_rows(self.now) if is_remote_turn else ()
                ),
            )
            targets = self._heartbeat_targets(balancer, is_remote_turn)
            for other in self.running_balancers:
                if other is balancer or other.own.name in self.isolated:
                    continue
                if targets is None or other.own.name in targets:
                    self.exchange(message, balancer, other)

    def _heartbeat_targets(
        self, balancer: Balancer, is_remote_turn: bool
    ) -> set[str] | None:
        """Return the names of a heartbeat's recipients, or None for all others."""
        if not self.layout.samples_targets:
            return None
        members = balancer.steering.members
        entries = members.sample_heartbeat_targets(
            self.now, include_remote=is_remote_turn
        )
        return {entry.name for entry in entries}

    def exchange(self, message: Heartbeat, sender: Balancer, other: Balancer) -> None:
        """Deliver a heartbeat."""
        other.steering.apply_heartbeat(message, self.now)

    def end_flow(self, flow: "_Flow", *, is_served: bool) -> None:
        """Retry the request of a flow that failed, or record its outcome."""
        del self._flows[flow.port]
        request = flow.request
        request.n_tries += 1
        elapsed = self.now - request.started_at
        may_retry = (
            request.n_tries <= self.workload.n_retries
            and elapsed + RETRY_MILLIS < self.workload.deadline_millis
        )
        if not is_served and may_retry:
            self.n_retrying += 1
            self.schedule(RETRY_MILLIS, partial(self._retry, request))
            return
        self.outcomes.append(
            Outcome(
                request.started_at,
                request.data_centre,
                None if flow.host is None else flow.host.name,
                is_served,
                elapsed,
            )
        )

    def _retry(self, request: "_Request") -> None:
        self.n_retrying -= 1
        self.open_flow(request)


class _Request:
    """One request of a caller, over all of its tries."""

    def __init__(self, data_centre: str, started_at: int) -> None:
        self.data_centre = data_centre
        self.started_at = started_at
        self.n_tries = 0


class _Flow:
    """One flow as seen by its caller."""

    def __init__(
        self, fleet: SimulatedFleet, balancer_index: int, port: int, request: _Request
    ) -> None:
        self.fleet = fleet
        self.balancer_index = balancer_index
        self.port = port
        self.request = request
        self.data_centre = request.data_centre
        self.opened_at = fleet.now
        self.host: Host | None = None
        self.is_over = False

    @property
    def balancer(self) -> Balancer:
        """Return the balancer that routers send this flow's packets to."""
        return self.fleet.balancers[self.data_centre][self.balancer_index]

    def open(self, n_retransmissions: int) -> None:
        """Send the opening packet or, with `n_retransmissions` > 0, retransmit it."""
        if self.host is not None or self.is_over:
            return
        delay = self.fleet.processing_delays.get(self.balancer.own.name, 0)
        self.fleet.schedule(
            delay,
            lambda: self.fleet.deliver_to_balancer(
                self.balancer.own.name,
                lambda: self._deliver_opening(n_retransmissions),
            ),
        )
        if n_retransmissions < len(RETRANSMIT_MILLIS):
            wait = RETRANSMIT_MILLIS[n_retransmissions] - (
                self.fleet.now - self.opened_at
            )
            self.fleet.schedule(max(1, wait), lambda: self.open(n_retransmissions + 1))
        else:
            wait = GIVE_UP_MILLIS - (self.fleet.now - self.opened_at)
            self.fleet.schedule(wait, self._give_up)

    def _deliver_opening(self, n_retransmissions: int) -> None:
        """Route the opening packet at the balancer and forward it."""
        packet = opening(
            self.port,
            n_retransmissions=n_retransmissions,
            **self.fleet.packet_fields(self),
        )
        server = self.balancer.steering.route_packet(packet, self.fleet.now)
        if isinstance(server, Refused):
            self.fleet.refusals[server.kind] += 1
            is_reset = ERROR_RESPONSES[server.kind].packet is PacketResponse.RESET
            if is_reset and self.host is None:
                self._end(is_served=False)
            return
        self.deliver(server)

    def deliver(self, server: ServerRow) -> None:
        """Deliver the opening to a host, which answers unless it is unresponsive."""
        host = self.fleet.hosts[server.name]
        is_reached = not host.is_unresponsive and self.fleet.is_reachable(
            self.balancer, host
        )
        if is_reached:
            is_local = host.data_centre == self.data_centre
            remote_millis = self.fleet.layout.remote_one_way_millis
            wait = LOCAL_ONE_WAY_MILLIS if is_local else remote_millis
            host.openings_at.append(self.fleet.now + wait)
            self.fleet.schedule(
                2 * wait, lambda: self._send_request(host, server.cookie)
            )

    def _send_request(self, host: Host, cookie: int) -> None:
        if self.host is not None or self.is_over:
            return
        if self.balancer.own.name in self.fleet.starting:
            wait = RETRANSMIT_MILLIS[0]
            self.fleet.schedule(wait, lambda: self._send_request(host, cookie))
            return
        self.host = host
        self._send_following(cookie)
        self._send_following(cookie, has_data=True)
        if host.is_unresponsive:
            self.fleet.schedule(GIVE_UP_MILLIS, self._give_up)
            return
        answered_at, is_served = self.serve(host)
        wait = answered_at - self.fleet.now
        self.fleet.schedule(
            wait, lambda: self._finish_flow(cookie, is_served=is_served)
        )

    def serve(self, host: Host) -> tuple[int, bool]:
        """Queue the request; return when it is answered and whether it is served."""
        return host.serve(self.fleet.now, self.fleet.random)

    def _finish_flow(self, cookie: int, *, is_served: bool) -> None:
        self._send_following(cookie)
        self._send_following(cookie, is_ending=True)
        self._end(is_served=is_served)

    def _send_following(self, cookie: int, **changes: object) -> None:
        fields = {**self.fleet.packet_fields(self), **changes}
        packet = following(self.port, cookie, **fields)
        delay = self.fleet.processing_delays.get(self.balancer.own.name, 0)
        self.fleet.schedule(
            delay,
            lambda: self.fleet.deliver_to_balancer(
                self.balancer.own.name,
                lambda: self.balancer.steering.route_packet(packet, self.fleet.now),
            ),
        )

    def _give_up(self) -> None:
        if self.host is None or self.host.is_unresponsive:
            self._end(is_served=False)

    def _end(self, *, is_served: bool) -> None:
        if not self.is_over:
            self.is_over = True
            self.fleet.end_flow(self, is_served=is_served)
