"""Evacuations of data centres, and the check that they are in force."""

import gevent
from monitor import InvariantMonitor
from store import SimulatedStore

MAX_EVACUATION_DELAY_SECONDS = 5.0
"""A data centre that has been evacuated for longer must not receive new flows."""

STORE_POLL_SECONDS = 0.1


class Evacuations:
    """Evacuations that the operator has requested.

    Parameters
    ----------
    store : SimulatedStore
        Store to which the requests are written.
    monitor : InvariantMonitor
        Records violations.
    """

    def __init__(self, store: SimulatedStore, monitor: InvariantMonitor) -> None:
        self._store = store
        self._monitor = monitor
        self._acknowledged_at: dict[str, float] = {}

    def is_requested(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._acknowledged_at

    def begin(self, data_centre: str) -> None:
        """Request an evacuation; waits until the store accepts it.

        It also waits for the end of the one before, which the store may accept late.
        """
        while self._store.faults.is_down or self.is_requested(data_centre):
            gevent.sleep(STORE_POLL_SECONDS)
        self._store.put(_key(data_centre), b"{}")
        self._acknowledged_at[data_centre] = self._monitor.elapsed_seconds

    def end(self, data_centre: str) -> None:
        """Withdraw the request; waits until the store accepts that."""
        while self._store.faults.is_down:
            gevent.sleep(STORE_POLL_SECONDS)
        acknowledged_at = self._acknowledged_at.pop(data_centre)
        if self._is_due(acknowledged_at, self._monitor.elapsed_seconds):
            self._monitor.counts["evacuations checked"] += 1
        self._store.delete(_key(data_centre))

    def write_again(self, data_centres: tuple[str, ...]) -> None:
        """Write and remove again what the store has lost with its history."""
        for data_centre in data_centres:
            is_stored = _key(data_centre) in self._store.items
            if self.is_requested(data_centre) and not is_stored:
                self._store.put(_key(data_centre), b"{}")
            elif is_stored and not self.is_requested(data_centre):
                self._store.delete(_key(data_centre))

    def check_opening(self, host: str, data_centre: str, at: float) -> None:
        """Check an opening that arrived at a backend server."""
        acknowledged_at = self._acknowledged_at.get(data_centre)
        if acknowledged_at is None:
            return
        self._monitor.counts["openings during an evacuation"] += 1
        if self._is_due(acknowledged_at, at):
            self._monitor.record_violation(
                "evacuation",
                host=host,
                data_centre=data_centre,
                after_s=round(at - acknowledged_at, 3),
            )

    def _is_due(self, acknowledged_at: float, at: float) -> bool:
        """Return whether no balancer may send openings any more."""
        is_settled = at >= self._monitor.fault_window_ends_at
        return is_settled and at - acknowledged_at > MAX_EVACUATION_DELAY_SECONDS


def _key(data_centre: str) -> str:
    return f"op/evacuate/{data_centre}"
