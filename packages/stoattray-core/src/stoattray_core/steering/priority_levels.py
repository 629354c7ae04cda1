"""Priority levels of the routes of a service, and the cut-off between them.

A cut-off is one number, the position: it grows with what is admitted. Each level has a
band of positions of length 1, in which its admitted share grows from 0 to 1, highest
level first. Between two bands is a gap in which the higher level is admitted whole and
the lower one not at all. Balancers whose positions differ by less than the gap
therefore never admit a lower level while another of them refuses a higher one.
"""

from collections.abc import Collection
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Configuration, Route

BAND_GAP = 0.3
"""Positions between the bands of two levels. Larger gaps delay a change of level."""

MIN_POSITION = 0.05
"""Some openings of the highest level are always admitted, as only their responses show
a lower load."""

OPEN_MARGIN = 0.15
"""Distance to the open position from which a cut-off counts as open, so that noise in a
balancer's few samples refuses nothing."""

LOWER_LEVELS_SHARE = 0.05
"""Openings of levels below the cut-off that are admitted nevertheless, over all of
these levels, as a share of the openings admitted of higher levels."""

MAX_CREDIT = 1.0
"""Most openings of a level below the cut-off that are admitted in a row."""


class CutOff(NamedTuple):
    """Lowest level that is admitted, and its admitted share.

    Parameters
    ----------
    level : int
        The level, as configured; 0 is the highest.
    share : float
        Admitted share of its openings, from 0 to 1.
    """

    level: int
    share: float


class ServiceLevels:
    """Levels of the routes of one service, the highest first.

    Parameters
    ----------
    routes : list of Route
        Routes of the service.

    Attributes
    ----------
    levels : tuple of int
        Distinct priorities in ascending order; the lowest number is the highest level.
    """

    def __init__(self, routes: list[Route]) -> None:
        self._routes = routes
        self.levels = tuple(sorted({route.priority for route in routes}))
        self._targets: dict[int, Millis] = {}
        for route in routes:
            target = route.target_latency_millis
            if target:
                held = self._targets.get(route.priority, target)
                self._targets[route.priority] = min(held, target)

    def restricted_to(self, levels: Collection[int]) -> "ServiceLevels":
        """Return the same without routes of other levels than `levels`."""
        return ServiceLevels([r for r in self._routes if r.priority in levels])

    @property
    def open_position(self) -> float:
        """Return the position at which every level is admitted."""
        return _band_start(len(self.levels) - 1) + 1.0

    def target_millis(self, level: int) -> Millis | None:
        """Return the shortest target latency of a level; None if it has none."""
        return self._targets.get(level)

    def admitted_share(self, position: float, level: int) -> float:
        """Return the share of a level's openings that is admitted at a position.

        A level that is not known counts as the lowest.
        """
        if self.is_open(position):
            return 1.0
        return max(0.0, min(1.0, position - _band_start(self._index(level))))

    def is_open(self, position: float) -> bool:
        """Return whether every level is admitted at a position."""
        return position >= self.open_position - OPEN_MARGIN

    def is_highest_only(self, position: float) -> bool:
        """Return whether only the highest level is admitted, and not all of it."""
        return position < 1.0

    def cut_off(self, position: float) -> CutOff:
        """Return the cut-off at a position."""
        for index in range(len(self.levels) - 1, 0, -1):
            start = _band_start(index)
            if position > start:
                return CutOff(self.levels[index], min(1.0, position - start))
        return CutOff(self.levels[0], max(0.0, min(1.0, position)))

    def position(self, cut_off: CutOff) -> float:
        """Return the position of a cut-off.

        A balancer with another version of the configuration may report a level that
        does not exist here. The next higher one then counts as admitted whole.
        """
        if cut_off.level in self.levels:
            return _band_start(self._index(cut_off.level)) + cut_off.share
        n_higher = sum(level < cut_off.level for level in self.levels)
        return _band_start(n_higher - 1) + 1.0 if n_higher else MIN_POSITION

    def _index(self, level: int) -> int:
        try:
            return self.levels.index(level)
        except ValueError:
            return len(self.levels) - 1


def _band_start(index: int) -> float:
    """Return the position at which the level with an index begins to be admitted."""
    return index * (1.0 + BAND_GAP)


def find_service_levels(configuration: Configuration) -> dict[str, ServiceLevels]:
    """Return the levels of the services whose routes have at least two priorities."""
    routes: dict[str, list[Route]] = {}
    for route in configuration.routes.values():
        for service, _ in route.service_weights:
            routes.setdefault(service, []).append(route)
    found = {service: ServiceLevels(group) for service, group in routes.items()}
    return {
        service: levels for service, levels in found.items() if len(levels.levels) > 1
    }


class LowerLevelCredits:
    """Bounded share of the openings below the cut-off of one service.

    Each admitted opening earns every lower level an equal part of
    `LOWER_LEVELS_SHARE`, and an admitted opening below the cut-off costs 1. The share
    is thus relative to what is admitted, however much the lower levels offer.
    """

    def __init__(self) -> None:
        self._credits: dict[int, float] = {}

    def note_admitted(self, levels: ServiceLevels, level: int) -> None:
        """Note an admitted opening, which earns credit for the levels below it."""
        n_lower = len(levels.levels) - 1
        for lower in levels.levels:
            if lower > level:
                credit = self._credits.get(lower, 0.0) + LOWER_LEVELS_SHARE / n_lower
                self._credits[lower] = min(MAX_CREDIT, credit)

    def spend(self, level: int) -> bool:
        """Return whether a level has credit for one opening, and spend it."""
        credit = self._credits.get(level, 0.0)
        if credit < 1.0:
            return False
        self._credits[level] = credit - 1.0
        return True
