"""Splits of the services' excess, computed from the reports of data centres."""

from collections.abc import Mapping
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.load_reports import LoadReports
from stoattray_core.steering.locality import ServiceLoad, split
from stoattray_core.steering.protocols import EventSink

MIN_LOGGED_CHANGE = 0.1
"""Change of the share that may leave from which it is logged again."""


class _Split(NamedTuple):
    """Slots by data centre that this balancer may use, and the share that may leave."""

    slots: dict[str, float]
    share: float
    reason: str


NO_SPLIT = _Split({}, 0.0, "no_excess")


class SplitTable:
    """Latest split of each service.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer.
    on_event : EventSink
        Receives noticeable changes.

    Attributes
    ----------
    reports : LoadReports
        Reports that the splits are computed from.
    """

    def __init__(self, data_centre: str, on_event: EventSink) -> None:
        self.reports = LoadReports(data_centre)
        self._data_centre = data_centre
        self._on_event = on_event
        self._loads: dict[str, dict[str, ServiceLoad]] = {}
        self._excess_at: dict[str, set[str]] = {}
        self._splits: dict[str, _Split] = {}
        self._logged: dict[str, _Split] = {}

    def slots(self, service: str) -> dict[str, float]:
        """Return the slots elsewhere that this balancer may use, by data centre."""
        return self._splits.get(service, NO_SPLIT).slots

    def load(self, service: str, data_centre: str) -> ServiceLoad | None:
        """Return a data centre's load at the last update, or None if unknown."""
        return self._loads.get(service, {}).get(data_centre)

    def has_excess(self, service: str) -> bool:
        """Return whether this data centre has an excess."""
        return self._data_centre in self._excess_at.get(service, ())

    def update(self, distances: Mapping[str, float], n_local: int, now: Millis) -> None:
        """Compute all splits again.

        Parameters
        ----------
        distances : mapping of str to float
            Extra round trips in ms of the data centres that may be used.
        n_local : int
            Live balancers of this data centre, which share a split equally.
        now : Millis
            Current time.
        """
        for service in self.reports.services:
            current = self._split(service, distances, n_local, now)
            self._splits[service] = current
            self._log(service, current)

    def _split(
        self, service: str, distances: Mapping[str, float], n_local: int, now: Millis
    ) -> _Split:
        loads = self._loads[service] = self.reports.loads(service, now)
        before = self._excess_at.get(service, set())
        excess_at = self._excess_at[service] = {
            name
            for name, load in loads.items()
            if load.has_excess(had_excess=name in before)
        }
        if self._data_centre not in excess_at:
            return NO_SPLIT
        slots = split(loads, excess_at, self._data_centre, distances)
        reason = "excess" if slots else "no_spare"
        # Without a recent report, the spare capacity last reported is shared equally.
        for name, load in self.reports.last_loads(service).items():
            if name in distances and name not in loads and load.spare > 0.0:
                slots[name] = load.spare
                reason = "old_report"
        share = sum(slots.values()) / max(1.0, loads[self._data_centre].load)
        parts = {name: n_slots / n_local for name, n_slots in slots.items()}
        return _Split(parts, min(1.0, share), reason)

    def _log(self, service: str, current: _Split) -> None:
        """Log a split that differs noticeably from the one logged last."""
        logged = self._logged.get(service, NO_SPLIT)
        is_similar = abs(current.share - logged.share) < MIN_LOGGED_CHANGE
        if is_similar and current.slots.keys() == logged.slots.keys():
            return
        self._logged[service] = current
        self._on_event(
            "split_changed",
            service=service,
            share=round(current.share, 2),
            data_centres=",".join(sorted(current.slots)) or None,
            reason=current.reason,
        )
