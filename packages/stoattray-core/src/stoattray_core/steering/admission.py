"""Admission control: refuses openings that would be served too late.

Serving late requests delays all requests behind them, so that in overload none is in
time. Some openings are therefore refused at once, while their callers can still react.

Invariant: an opening is refused only while its best server has a queue. Two rules
apply then:

1. The response is expected later than the target latency allows, at the service time
   of the requests that this balancer and its peers have pending there.
2. Drawn by a probability that a controller adapts to the response times of the service
   (PIE, RFC 8033). It holds the response times below the target latency, whatever the
   other balancers admit, and drops once responses are fast or there are none.

After the loss of all balancers, the callers of the whole outage come back at once.
Resets would use up their retries within a tenth of a second. While callers of the
outage may still wait, openings beyond the queues are therefore deferred: dropped, so
that their callers retransmit them while servers become free. Only callers that have
time for it are deferred. Retransmitted openings are already late, so they only get
slots that are free in the whole service, and new ones the queues.
"""

from random import Random
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route
from stoattray_core.steering.priority_order import (
    Contender,
    PriorityOrder,
    Refusal,
)
from stoattray_core.steering.servers import ServerRow

MAX_LATENCY_RATIO = 0.6
PRIORITY_MAX_LATENCY_RATIO = 1.0
"""Expected response time, in multiples of a route's target latency, above which
openings are refused. The rest is for requests that take longer than the mean, and
for those that other balancers send meanwhile. The second applies to routes with
priority."""

MAX_UNREFUSED_PER_SLOT = 2.0
"""Requests per slot of the best server, the new one included, up to which nothing is
refused: the load that peers report is old, and a server that looks busy may be idle."""

MAX_LATE_PER_SLOT = 1.0
"""The same for retransmitted openings while openings are deferred."""

REFERENCE_RATIO = 0.5
PRIORITY_REFERENCE_RATIO = 1.1
"""Response time, in multiples of the target latency, that the controller aims at. The
rest is for the opening and for responses that take longer than the mean. The second
applies to routes with priority, which are refused once refusing others is not
enough."""

DEVIATION_GAIN = 0.15
TREND_GAIN = 0.6
"""Change of the probability in each interval per target latency that the response time
is above the reference, and that it grew by. Trials: docs/design/0005."""

INTERVAL_MILLIS = 50
MAX_INTERVALS = 4
"""Interval of the controller, and the most that one step makes up for."""

MAX_PROBABILITY = 0.95
"""Some openings are always admitted, as only their responses show a lower load."""

SAMPLE_WEIGHT = 0.25
"""Weight of a new response in the mean response time of its service."""

OPENING_MILLIS = 1_400
"""Time after which callers give up an unanswered opening, and try again if they still
wait."""

MAX_RECOVERY_MILLIS = 3 * OPENING_MILLIS
"""Longest time after the start in which openings are deferred, whatever the timeout:
callers have tried three times by then, and others must not be held."""

MAX_SAMPLE_AGE_MILLIS = 200
"""Without a response for this time, nothing is known about the load; the probability
then halves every `HALF_LIFE_MILLIS`."""

HALF_LIFE_MILLIS = 100


class Overload(NamedTuple):
    """Reason for refusing an opening.

    Parameters
    ----------
    server : ServerRow
        Best server for the flow.
    expected_millis : float or None
        Expected response time there; None if the service time is unknown.
    max_millis : float or None
        Longest expected response time that is admitted; None without target latency.
    response_millis : float
        Mean response time of the service.
    probability : float
        Probability of a refusal by the controller.
    is_deferred : bool
        Whether the caller is to retransmit the opening.
    refusal : Refusal or None
        Priority level and cut-off; None if the service has no levels.
    """

    server: ServerRow
    expected_millis: float | None
    max_millis: float | None
    response_millis: float
    probability: float
    is_deferred: bool = False
    refusal: Refusal | None = None


class _ResponseTime:
    """Mean of a service's recent response times."""

    __slots__ = ("millis", "sampled_at")

    def __init__(self) -> None:
        self.millis = 0.0
        self.sampled_at: Millis | None = None

    def is_recent(self, now: Millis) -> bool:
        """Return whether there was a response recently."""
        at = self.sampled_at
        return at is not None and now - at <= MAX_SAMPLE_AGE_MILLIS

    def add(self, waited_millis: Millis, now: Millis) -> None:
        """Add a response; an outdated mean is replaced."""
        weight = SAMPLE_WEIGHT if self.is_recent(now) else 1.0
        self.millis += (waited_millis - self.millis) * weight
        self.sampled_at = now


class _Controller:
    """Refusal probability of one route, adapted by proportional-integral control."""

    __slots__ = ("_previous_millis", "_updated_at", "probability")

    def __init__(self, now: Millis) -> None:
        self.probability = 0.0
        self._previous_millis = 0.0
        self._updated_at = now

    def update(self, route: Route, response_time: _ResponseTime, now: Millis) -> None:
        """Adapt the probability to the response time, at most once per interval."""
        assert route.target_latency_millis is not None
        target_millis = route.target_latency_millis
        elapsed = now - self._updated_at
        if elapsed < INTERVAL_MILLIS:
            return
        self._updated_at = now
        n_intervals = min(MAX_INTERVALS, elapsed / INTERVAL_MILLIS)
        if response_time.is_recent(now):
            millis = response_time.millis
            ratio = PRIORITY_REFERENCE_RATIO if route.has_priority else REFERENCE_RATIO
            deviation = millis - ratio * target_millis
            trend = millis - self._previous_millis
            change = DEVIATION_GAIN * deviation + TREND_GAIN * trend
            if deviation < 0.0:
                change = min(0.0, change)
            self.probability += change / target_millis * n_intervals
            self._previous_millis = millis
        else:
            self.probability *= 0.5 ** (elapsed / HALF_LIFE_MILLIS)
            self._previous_millis = 0.0
        self.probability = max(0.0, min(MAX_PROBABILITY, self.probability))


class AdmissionControl:
    """Decides which openings are refused for overload.

    Parameters
    ----------
    random : Random
        Draws the openings to refuse.
    order : PriorityOrder or None
        Replaces the draw for services with priority levels; None if it is off.
    """

    def __init__(self, random: Random, order: PriorityOrder | None = None) -> None:
        self._random = random
        self._order = order
        self._response_times: dict[str, _ResponseTime] = {}
        self._controllers: dict[bytes, _Controller] = {}
        self._started_at: Millis | None = None

    def start(self, now: Millis) -> None:
        """Note that this balancer begins to forward packets."""
        self._started_at = now

    def note_response(
        self,
        service: str,
        waited_millis: Millis,
        now: Millis,
        *,
        destination: bytes = b"",
        is_fast: bool = False,
        is_refused: bool = False,
    ) -> None:
        """Note a response of a service.

        Parameters
        ----------
        service : str
            The service.
        waited_millis : Millis
            Time from the request to its response.
        now : Millis
            Current time.
        destination : bytes
            Destination of the flow.
        is_fast : bool
            Whether the response came too fast for a request that was served.
        is_refused : bool
            Whether it did so at a server with a queue, which most likely refused it.
        """
        if not is_fast:
            self._response_time(service).add(waited_millis, now)
        if self._order is not None:
            self._order.note_response(
                service, destination, waited_millis, now, is_refused=is_refused
            )

    def check(
        self,
        server: ServerRow,
        route: Route,
        service_time: float | None,
        now: Millis,
        *,
        is_retransmission: bool = False,
        n_retransmissions: int = 0,
        caller: bytes = b"",
        has_free_slots: bool = True,
    ) -> Overload | None:
        """Return why an opening has to be refused, or None if it is admitted.

        Parameters
        ----------
        server : ServerRow
            Best server for the flow.
        route : Route
            Route of the flow, with its target latency.
        service_time : float or None
            Service time in ms without the round trip; None if unknown.
        now : Millis
            Current time.
        is_retransmission : bool
            Whether the caller has sent the opening before.
        n_retransmissions : int
            How often; only needed with priority levels.
        caller : bytes
            Address of the caller; only needed with priority levels.
        has_free_slots : bool
            Whether the servers of the service have fewer requests than slots; only
            needed for retransmitted openings.
        """
        service = server.entry.service
        if self._order is not None:
            self._order.note_opening(service, route, now)
        if self._order is not None and self._order.applies(service):
            return self._check_levels(
                self._order,
                Contender(server, route, service_time, n_retransmissions, caller),
                now,
                is_retransmission=is_retransmission,
                has_free_slots=has_free_slots,
            )
        target = route.target_latency_millis
        if not target:
            return None
        response_time = self._response_time(service)
        controller = self._controllers.get(route.destination)
        if controller is None:
            controller = self._controllers[route.destination] = _Controller(now)
        controller.update(route, response_time, now)
        if self._is_recovering(route, now):
            return _check_recovery(
                server,
                target,
                now,
                is_retransmission=is_retransmission,
                has_free_slots=has_free_slots,
            )
        if not _has_queue(server, now):
            return None
        expected = _expected_millis(server, service_time, now)
        ratio = PRIORITY_MAX_LATENCY_RATIO if route.has_priority else MAX_LATENCY_RATIO
        is_late = expected is not None and expected > ratio * target
        if not is_late and self._random.random() >= controller.probability:
            return None
        return Overload(
            server,
            expected,
            ratio * target,
            response_time.millis,
            controller.probability,
        )

    def _check_levels(
        self,
        order: PriorityOrder,
        contender: Contender,
        now: Millis,
        *,
        is_retransmission: bool,
        has_free_slots: bool,
    ) -> Overload | None:
        """Return why an opening of a service with priority levels is refused."""
        order.note_offered(contender, now)
        overload = self._find_level_overload(
            order,
            contender,
            now,
            is_retransmission=is_retransmission,
            has_free_slots=has_free_slots,
        )
        if overload is None:
            order.note_admitted(contender, now)
        else:
            order.note_refused(contender, is_deferred=overload.is_deferred)
        return overload

    def _find_level_overload(
        self,
        order: PriorityOrder,
        contender: Contender,
        now: Millis,
        *,
        is_retransmission: bool,
        has_free_slots: bool,
    ) -> Overload | None:
        server, route = contender.server, contender.route
        target = route.target_latency_millis
        if target and self._is_recovering(route, now):
            return _check_recovery(
                server,
                target,
                now,
                is_retransmission=is_retransmission,
                has_free_slots=has_free_slots,
            )
        if not order.has_queue(contender, now):
            return None
        expected = _expected_millis(server, contender.service_time, now)
        ratio = PRIORITY_MAX_LATENCY_RATIO if route.has_priority else MAX_LATENCY_RATIO
        max_millis = ratio * target if target else None
        is_late = None not in (expected, max_millis) and expected > max_millis
        refusal = order.check(contender, now)
        if refusal is None and is_late:
            refusal = order.explain(contender, now)
        if refusal is None:
            return None
        return Overload(
            server,
            expected,
            max_millis,
            self._response_time(server.entry.service).millis,
            0.0,
            is_deferred=order.may_defer(contender, now),
            refusal=refusal,
        )

    def _is_recovering(self, route: Route, now: Millis) -> bool:
        """Return whether callers may still wait that called before the start."""
        if self._started_at is None or not may_wait(route):
            return False
        assert route.timeout_millis is not None
        waiting_millis = min(route.timeout_millis, MAX_RECOVERY_MILLIS)
        return now - self._started_at < waiting_millis

    def _response_time(self, service: str) -> _ResponseTime:
        response_time = self._response_times.get(service)
        if response_time is None:
            response_time = self._response_times[service] = _ResponseTime()
        return response_time


def may_wait(route: Route) -> bool:
    """Return whether callers have time to try again after an unanswered opening."""
    timeout, target = route.timeout_millis, route.target_latency_millis
    return None not in (timeout, target) and timeout >= OPENING_MILLIS + target


def _has_queue(server: ServerRow, now: Millis) -> bool:
    """Return whether a server has a queue, by the latest reports."""
    n_reported = server.n_pending_requests + server.n_peer_requests + 1
    return n_reported > MAX_UNREFUSED_PER_SLOT * server.capacity(now)


def _expected_millis(
    server: ServerRow, service_time: float | None, now: Millis
) -> float | None:
    """Return the expected response time; None if the service time is unknown."""
    if service_time is None:
        return None
    n_certain = server.n_certain_requests + 1
    return n_certain * service_time * server.slowdown / server.capacity(now)


def _check_recovery(
    server: ServerRow,
    target: Millis,
    now: Millis,
    *,
    is_retransmission: bool,
    has_free_slots: bool,
) -> Overload | None:
    """Return an overload if an opening has to wait, half-open flows included."""
    n_flows = server.n_certain_requests + server.n_half_open + 1
    max_per_slot = MAX_LATE_PER_SLOT if is_retransmission else MAX_UNREFUSED_PER_SLOT
    if n_flows <= max_per_slot * server.capacity(now) and (
        has_free_slots or not is_retransmission
    ):
        return None
    return Overload(server, None, target, 0.0, 0.0, is_deferred=True)
