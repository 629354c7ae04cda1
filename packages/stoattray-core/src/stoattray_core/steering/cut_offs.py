"""Cut-offs between the priority levels of services, adapted and shared by balancers.

Each balancer adapts a position (see `priority_levels`) for each service by
proportional-integral control, as admission control does with its probability. What it
controls is the pressure on the servers, the highest of three: the response times of the
highest levels in multiples of their target latency, the used share of the queue of the
best server, and the share of requests that servers refuse. Where queues are short,
servers refuse requests long before responses are late, and queues change faster than
balancers report them.

Balancers send each other the positions that they measured. Each moves its own towards
the mean of the others', so that all of them apply nearly the same cut-off and the order
of refusal is the same everywhere. A balancer that hears from no other uses its own.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.averages import mean
from stoattray_core.steering.priority_levels import (
    MIN_POSITION,
    CutOff,
    ServiceLevels,
)

VALID_MILLIS = 1_000
"""Age of a measurement from which a reported cut-off is ignored: five heartbeats."""

REFERENCE = 0.5
HIGHEST_REFERENCE = 0.9
"""Pressure that the controller aims at. The second applies while openings of the
highest level are refused, which happens only once refusing all others is not enough."""

DEVIATION_GAIN = 0.3
TREND_GAIN = 0.6
"""Change of the position in each interval per unit of pressure above the reference, and
per unit that queue and response times grew by. The share of refused requests is too
noisy for a trend. Trials: docs/design/0010."""

INTERVAL_MILLIS = 50
MAX_INTERVALS = 4
"""Interval of the controller, and the most that one step makes up for."""

PULL = 0.2
"""Part of the difference to the mean of the others by which the position moves in each
interval; positions agree within half a second."""

SMOOTHING_MILLIS = 100
"""Time constant of the means of pressure; two or three openings of a balancer that gets
10 to 30 a second."""

REFUSED_SMOOTHING_MILLIS = 500
"""Time constant of the share of requests that servers refuse, which is small."""

MAX_REFUSED_SHARE = 0.02
MAX_REFUSED_PRESSURE = 1.5
"""Share of requests that servers may refuse; above it the cut-off closes. The second
bounds the pressure, as one refused request among few is no measure."""

MAX_SAMPLE_AGE_MILLIS = 200
"""Samples older than this say nothing about the present pressure."""

HALF_LIFE_MILLIS = 80
"""While servers have no queue, or nothing is known, the distance to the open position
halves in this time: a cut-off is open again within a second."""


class CutOffReport(NamedTuple):
    """Cut-off of one service as a balancer measured it.

    Parameters
    ----------
    service : str
        The service.
    level : int
        Lowest level that is admitted.
    share_permille : int
        Admitted share of that level, in thousandths.
    age : Millis
        Time since the measurement.
    """

    service: str
    level: int
    share_permille: int
    age: Millis


class _Mean:
    """Mean of recent samples; an outdated mean is replaced."""

    __slots__ = ("_smoothing_millis", "sampled_at", "value")

    def __init__(self, smoothing_millis: Millis = SMOOTHING_MILLIS) -> None:
        self._smoothing_millis = smoothing_millis
        self.value = 0.0
        self.sampled_at: Millis | None = None

    def is_recent(self, now: Millis) -> bool:
        at = self.sampled_at
        return at is not None and now - at <= MAX_SAMPLE_AGE_MILLIS

    def add(self, sample: float, now: Millis) -> None:
        weight = 1.0
        if self.sampled_at is not None and self.is_recent(now):
            elapsed = max(1, now - self.sampled_at)
            weight -= math.exp(-elapsed / self._smoothing_millis)
        self.value += (sample - self.value) * weight
        self.sampled_at = now


class ServiceCutOff:
    """Cut-off of one service at this balancer.

    Parameters
    ----------
    levels : ServiceLevels
        Levels of the service.
    now : Millis
        Current time.

    Attributes
    ----------
    position : float
        What is admitted; see `priority_levels`.
    n_peers : int
        Number of other balancers whose positions counted at the last update.
    measured_at : Millis or None
        When this balancer last sampled the pressure; None if it never did.
    """

    def __init__(self, levels: ServiceLevels, now: Millis) -> None:
        self.levels = levels
        self.position = levels.open_position
        self.n_peers = 0
        self.measured_at: Millis | None = None
        self._queue = _Mean()
        self._responses: dict[int, _Mean] = {}
        self._refused_share = _Mean(REFUSED_SMOOTHING_MILLIS)
        self._rate = _Mean()
        self._previous_delay = 0.0
        self._updated_at = now

    @property
    def is_open(self) -> bool:
        """Return whether every level is admitted."""
        return self.levels.is_open(self.position)

    @property
    def cut_off(self) -> CutOff:
        """Return the cut-off in force."""
        return self.levels.cut_off(self.position)

    def replace_levels(self, levels: ServiceLevels) -> None:
        """Apply other levels of the service; what is admitted stays nearly the same."""
        if levels.levels != self.levels.levels:
            is_open, cut_off = self.is_open, self.cut_off
            self.position = (
                levels.open_position if is_open else levels.position(cut_off)
            )
        self.levels = levels

    def age(self, now: Millis) -> Millis | None:
        """Return the time since this balancer's last sample, or None."""
        return None if self.measured_at is None else now - self.measured_at

    def note_response(self, level: int, ratio: float, now: Millis) -> None:
        """Note a response time of a level, in multiples of its target latency."""
        self._responses.setdefault(level, _Mean()).add(ratio, now)
        self.measured_at = now

    def note_served(self, *, is_refused: bool, now: Millis) -> None:
        """Note whether a server refused a request, as a fast response shows."""
        self._refused_share.add(float(is_refused), now)
        self.measured_at = now

    def is_refused_by_servers(self, now: Millis) -> bool:
        """Return whether servers refuse more requests than they may."""
        return self._refused_pressure(now) > REFERENCE

    def note_queue(self, used_share: float, now: Millis) -> None:
        """Note the used share of the best server's queue; negative if a slot is free.

        It is sampled with each opening, also with those that are refused.
        """
        self._queue.add(used_share, now)
        self.measured_at = now

    def update(self, peer_positions: list[float], now: Millis) -> None:
        """Adapt the position, at most once per interval.

        Parameters
        ----------
        peer_positions : list of float
            Valid positions of other balancers.
        now : Millis
            Current time.
        """
        elapsed = now - self._updated_at
        if elapsed < INTERVAL_MILLIS:
            return
        self._updated_at = now
        before = self.position
        self.n_peers = len(peer_positions)
        n_intervals = min(MAX_INTERVALS, elapsed / INTERVAL_MILLIS)
        delay, refused = self._delay_pressure(now), self._refused_pressure(now)
        pressure = max(delay or 0.0, refused)
        if delay is None:
            self._follow(peer_positions, elapsed)
        elif pressure < REFERENCE and self._has_free_slot(now):
            self._open_up(elapsed)
        else:
            trend = delay - self._previous_delay
            self._control(pressure, trend, n_intervals)
        if delay is not None and peer_positions:
            pull = 1.0 - (1.0 - PULL) ** n_intervals
            self.position += (mean(peer_positions) - self.position) * pull
        self._previous_delay = delay or 0.0
        open_position = self.levels.open_position
        self.position = max(MIN_POSITION, min(open_position, self.position))
        self._rate.add((self.position - before) / elapsed, now)

    def forecast_share(self, level: int, millis: Millis, now: Millis) -> float:
        """Return the share of a level that is admitted in a time, at the present trend.

        A cut-off that does not open is expected to stay as it is.
        """
        rate = self._rate.value if self._rate.is_recent(now) else 0.0
        position = self.position + max(0.0, rate) * millis
        return self.levels.admitted_share(position, level)

    def _delay_pressure(self, now: Millis) -> float | None:
        """Return the pressure by queue and response times; None if not sampled lately.

        Response times are those of the highest level that has recent ones.
        """
        pressures = []
        if self._queue.is_recent(now):
            pressures.append(self._queue.value)
        for level in self.levels.levels:
            mean = self._responses.get(level)
            if mean is not None and mean.is_recent(now):
                pressures.append(mean.value)
                break
        return max(pressures, default=None)

    def _refused_pressure(self, now: Millis) -> float:
        """Return the pressure by the requests that servers refuse."""
        if not self._refused_share.is_recent(now):
            return 0.0
        pressure = REFERENCE * self._refused_share.value / MAX_REFUSED_SHARE
        return min(MAX_REFUSED_PRESSURE, pressure)

    def _has_free_slot(self, now: Millis) -> bool:
        return self._queue.is_recent(now) and self._queue.value <= 0.0

    def _control(self, pressure: float, trend: float, n_intervals: float) -> None:
        is_highest_only = self.levels.is_highest_only(self.position)
        deviation = pressure - (HIGHEST_REFERENCE if is_highest_only else REFERENCE)
        change = DEVIATION_GAIN * deviation + TREND_GAIN * trend
        if deviation < 0.0:
            change = min(0.0, change)
        self.position -= change * n_intervals

    def _follow(self, peer_positions: list[float], elapsed: Millis) -> None:
        """Take the position of others that know more, or open the cut-off."""
        if peer_positions:
            self.position = mean(peer_positions)
        else:
            self._open_up(elapsed)

    def _open_up(self, elapsed: Millis) -> None:
        distance = self.levels.open_position - self.position
        self.position += distance * (1.0 - 0.5 ** (elapsed / HALF_LIFE_MILLIS))


class _Measurement(NamedTuple):
    """Cut-off that another balancer reported, and when it measured it."""

    cut_off: CutOff
    measured_at: Millis


class PeerCutOffs:
    """Cut-offs that other balancers reported, by service and balancer."""

    def __init__(self) -> None:
        self._measurements: dict[str, dict[str, _Measurement]] = {}

    def apply(self, name: str, reports: Iterable[CutOffReport], now: Millis) -> None:
        """Replace the cut-offs that a balancer reported before.

        Heartbeats may arrive in another order than they were sent; of two measurements
        the later one is kept.
        """
        reported = {report.service: report for report in reports}
        for service, by_name in self._measurements.items():
            if service not in reported:
                by_name.pop(name, None)
        for service, report in reported.items():
            measured_at = now - report.age
            by_name = self._measurements.setdefault(service, {})
            held = by_name.get(name)
            if held is None or measured_at >= held.measured_at:
                share = min(1.0, report.share_permille / 1_000)
                by_name[name] = _Measurement(CutOff(report.level, share), measured_at)

    def valid(self, service: str, now: Millis) -> list[CutOff]:
        """Return the valid cut-offs of a service, and remove the others."""
        by_name = self._measurements.get(service)
        if not by_name:
            return []
        for name, measurement in list(by_name.items()):
            if now - measurement.measured_at > VALID_MILLIS:
                del by_name[name]
        return [measurement.cut_off for measurement in by_name.values()]

    def expire(self, now: Millis) -> None:
        """Remove all cut-offs that are no longer valid."""
        for service in list(self._measurements):
            if not self.valid(service, now):
                del self._measurements[service]
