"""Contention between the callers of a service with too little capacity.

Decides the order of refusal. Applies to services whose routes have at least two
priorities in the configuration. It combines the decisions of `priority_levels` and
`cut_offs` for admission control.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cut_offs import (
    CutOffReport,
    PeerCutOffs,
    ServiceCutOff,
)
from stoattray_core.steering.deferral import (
    MIN_FORECAST_SHARE,
    next_transmission_millis,
)
from stoattray_core.steering.entries import Configuration, Route
from stoattray_core.steering.expected_requests import ExpectedRequests
from stoattray_core.steering.fair_shares import FairShares
from stoattray_core.steering.priority_levels import (
    CutOff,
    LowerLevelCredits,
    ServiceLevels,
)
from stoattray_core.steering.priority_order import Contender, Refusal
from stoattray_core.steering.reserve import ArrivalRate, reserved_places
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.used_levels import UsedLevels

MAX_UNREFUSED_PER_SLOT = 2.0
MAX_LOWER_UNREFUSED_PER_SLOT = 1.0
"""Requests per slot of the best server, the new one included, up to which nothing is
refused. The second applies to all levels but the highest: up to it a slot is free."""

QUEUE_PLACES = 8
"""Requests that are let wait at a backend server; it refuses further ones at some
number, which shows only once it does."""

REPORTING_MILLIS = 1_000
"""A cut-off is reported until it has been open for this time. Others then know that it
is open, rather than not knowing it."""


class _Service:
    """State of one service."""

    def __init__(self, levels: ServiceLevels, now: Millis) -> None:
        self.cut_off = ServiceCutOff(levels, now)
        self.credits = LowerLevelCredits()
        self.closed_at: Millis | None = None
        self.fair_shares: dict[int, FairShares] = {}
        self.highest_arrivals = ArrivalRate()


class Contention:
    """Decides which openings are refused in contention, by priority level.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or None before the first.
    n_servers : callable
        Returns the number of a service's servers that may get openings at a time.
    counters : Counter
        Counts openings by level and outcome.
    random : Random
        Draws the openings to refuse.

    Attributes
    ----------
    expected_requests : ExpectedRequests
        Measures how many requests open flows count as.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration | None],
        n_servers: Callable[[str, Millis], int],
        counters: Counter[str],
        random: Random,
    ) -> None:
        self._configuration = configuration
        self._n_servers = n_servers
        self._n_balancers = 1
        self._counters = counters
        self._random = random
        self._known_configuration: Configuration | None = None
        self._levels = UsedLevels()
        self._services: dict[str, _Service] = {}
        self._peer_cut_offs = PeerCutOffs()
        self.expected_requests = ExpectedRequests()

    def applies(self, service: str) -> bool:
        """Return whether callers of a service use at least two priorities."""
        return self._current_levels().get(service) is not None

    def note_opening(self, service: str, route: Route, now: Millis) -> None:
        """Note that a level of a service is in use."""
        self._current_levels().note_opening(service, route.priority, now)

    def open_requests(self, row: ServerRow) -> float:
        """Return the requests that the open flows of a server count as."""
        if not self.applies(row.entry.service):
            return row.n_open
        return self.expected_requests.of_server(row)

    def note_response(
        self,
        service: str,
        destination: bytes,
        waited_millis: Millis,
        now: Millis,
        *,
        is_refused: bool,
    ) -> None:
        """Note a response; `is_refused` if its server refused it for its queue."""
        levels = self._current_levels().get(service)
        if levels is None or self._known_configuration is None:
            return
        self._service(service, now).cut_off.note_served(is_refused=is_refused, now=now)
        if is_refused:
            return
        route = self._known_configuration.routes.get(destination)
        target = levels.target_millis(route.priority) if route is not None else None
        if route is not None and target:
            cut_off = self._service(service, now).cut_off
            cut_off.note_response(route.priority, waited_millis / target, now)

    def has_queue(self, contender: Contender, now: Millis) -> bool:
        """Return whether the best server for an opening has a queue.

        Reports are old, so a server that looks busy may be idle, and only the highest
        level gets the benefit of the doubt. While servers refuse requests even though
        only the highest level is admitted, one that looks idle is not, and the average
        of the reports counts as well.
        """
        server, route = contender.server, contender.route
        cut_off = self._service(server.entry.service, now).cut_off
        n_peer_requests = float(server.n_peer_requests)
        if route.priority == cut_off.levels.levels[0]:
            max_per_slot = MAX_UNREFUSED_PER_SLOT
        else:
            max_per_slot = MAX_LOWER_UNREFUSED_PER_SLOT
            is_highest_only = cut_off.levels.is_highest_only(cut_off.position)
            if is_highest_only and cut_off.is_refused_by_servers(now):
                n_peer_requests = max(n_peer_requests, server.peer_load)
        n_requests = server.n_pending_requests + n_peer_requests + 1
        return n_requests > max_per_slot * server.capacity(now)

    def note_offered(self, contender: Contender, now: Millis) -> None:
        """Note an opening before it is decided, and adapt the cut-off."""
        server = contender.server
        service = server.entry.service
        cut_off = self._service(service, now).cut_off
        n_queued = server.n_certain_requests + 1 - server.capacity(now)
        cut_off.note_queue(n_queued / QUEUE_PLACES, now)
        self._update(service, now)
        state = self._service(service, now)
        if contender.route.priority == state.cut_off.levels.levels[0]:
            state.highest_arrivals.note_arrival(now)
        if contender.caller and contender.n_retransmissions == 0:
            self._count_caller(contender, now)
        self._count(contender.route, "offered")

    def check(self, contender: Contender, now: Millis) -> Refusal | None:
        """Return why the cut-off refuses an opening, or None if it is admitted."""
        service = self._service(contender.server.entry.service, now)
        level = contender.route.priority
        cut_off = service.cut_off
        share = cut_off.levels.admitted_share(cut_off.position, level)
        fair_shares = service.fair_shares.get(level)
        if fair_shares is not None and contender.caller:
            share = fair_shares.admitted_share(contender.caller, share, now)
        n_left = self._n_places_left(contender, now)
        n_reserved = self._n_reserved(contender, service, now)
        if self._random.random() < share and n_left > n_reserved:
            return None
        # The bounded share of lower levels may use the reserve: they must not starve.
        if n_left > 0 and service.credits.spend(level):
            return None
        return self.explain(contender, now)

    def _n_places_left(self, contender: Contender, now: Millis) -> float:
        """Return the queue places left at the best server.

        A server that is full would refuse the request once the flow is open, and
        callers may not repeat a non-idempotent one then.
        """
        server = contender.server
        n_slots_and_places = server.capacity(now) + QUEUE_PLACES
        return n_slots_and_places - server.n_certain_requests

    def _n_reserved(self, contender: Contender, service: _Service, now: Millis) -> int:
        """Return the queue places that an opening may not use."""
        if contender.route.priority == service.cut_off.levels.levels[0]:
            return 0
        n_reserved = reserved_places(
            service.highest_arrivals.per_millis(now),
            contender.service_time,
            n_balancers=self._n_balancers,
            n_servers=self._n_servers(contender.server.entry.service, now),
            queue_places=QUEUE_PLACES,
        )
        if n_reserved:
            self._counters["openings_beside_reserve"] += 1
        return n_reserved

    def may_defer(self, contender: Contender, now: Millis) -> bool:
        """Return whether a refused opening may wait for its next transmission."""
        route = contender.route
        cut_off = self._service(contender.server.entry.service, now).cut_off
        if route.priority == cut_off.levels.levels[0]:
            return False
        wait = next_transmission_millis(
            route, contender.n_retransmissions, contender.service_time
        )
        if wait is None:
            return False
        share = cut_off.forecast_share(route.priority, wait, now)
        return share >= MIN_FORECAST_SHARE

    def explain(self, contender: Contender, now: Millis) -> Refusal:
        """Return the level of an opening and the cut-off in force."""
        cut_off = self._service(contender.server.entry.service, now).cut_off
        return Refusal(
            contender.route.priority,
            cut_off.cut_off,
            cut_off.n_peers,
            cut_off.age(now),
        )

    def note_admitted(self, contender: Contender, now: Millis) -> None:
        """Note that an opening was admitted."""
        service = self._service(contender.server.entry.service, now)
        service.credits.note_admitted(service.cut_off.levels, contender.route.priority)
        self._count(contender.route, "admitted")

    def note_refused(self, contender: Contender, *, is_deferred: bool) -> None:
        """Note that an opening was refused or deferred."""
        self._count(contender.route, "deferred" if is_deferred else "refused")

    def apply_reports(
        self, name: str, reports: tuple[CutOffReport, ...], now: Millis
    ) -> None:
        """Apply the cut-offs in the heartbeat of another balancer."""
        self._peer_cut_offs.apply(name, reports, now)

    def reports(self, now: Millis) -> tuple[CutOffReport, ...]:
        """Return the measured cut-offs for the next heartbeat; none in steady state."""
        reports = []
        for name in self._current_levels().services:
            service = self._services.get(name)
            if service is None:
                continue
            self._update(name, now)
            age = service.cut_off.age(now)
            closed_at = service.closed_at
            if age is None or closed_at is None or now - closed_at > REPORTING_MILLIS:
                continue
            level, share = service.cut_off.cut_off
            reports.append(CutOffReport(name, level, round(1_000 * share), age))
        return tuple(reports)

    def cut_offs(self) -> dict[str, CutOff]:
        """Return the cut-offs in force that are not open, by service."""
        return {
            name: service.cut_off.cut_off
            for name, service in self._services.items()
            if not service.cut_off.is_open
        }

    def expire(self, now: Millis, *, n_balancers: int) -> None:
        """Remove outdated state; runs about once a second.

        Callers are counted from the beginning of contention to its end.

        Parameters
        ----------
        now : Millis
            Current time.
        n_balancers : int
            Live balancers, this one included.
        """
        self._n_balancers = n_balancers
        self._peer_cut_offs.expire(now)
        self._current_levels().expire(now)
        for service in self._services.values():
            if service.cut_off.is_open:
                service.fair_shares.clear()

    def _count_caller(self, contender: Contender, now: Millis) -> None:
        """Count an opening of a caller, unless its level is admitted whole."""
        service = self._service(contender.server.entry.service, now)
        level = contender.route.priority
        cut_off = service.cut_off
        if cut_off.levels.admitted_share(cut_off.position, level) < 1.0:
            fair_shares = service.fair_shares.setdefault(level, FairShares(now))
            fair_shares.note_offered(contender.caller, now)

    def _update(self, name: str, now: Millis) -> None:
        service = self._service(name, now)
        levels = service.cut_off.levels
        peers = self._peer_cut_offs.valid(name, now)
        positions = [levels.position(cut_off) for cut_off in peers]
        service.cut_off.update(positions, now)
        if not all(map(levels.is_open, [service.cut_off.position, *positions])):
            service.closed_at = now

    def _service(self, name: str, now: Millis) -> _Service:
        levels = self._current_levels().get(name)
        assert levels is not None
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(levels, now)
        service.cut_off.replace_levels(levels)
        return service

    def _current_levels(self) -> UsedLevels:
        configuration = self._configuration()
        if configuration is not self._known_configuration:
            self._known_configuration = configuration
            self._levels.declare(configuration)
            declared = self._levels.services
            for name in [name for name in self._services if name not in declared]:
                del self._services[name]
        return self._levels

    def _count(self, route: Route, outcome: str) -> None:
        self._counters[f"level_{route.priority}_{outcome}"] += 1
