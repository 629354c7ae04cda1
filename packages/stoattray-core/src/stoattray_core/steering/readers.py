"""Readers of the store in this data centre, as learned from heartbeats.

The first balancer by name reads the store for all. In a large data centre a balancer
receives a heartbeat from each other one only every few seconds, so each heartbeat also
carries the first reader that its sender knows and the age of that reader's
confirmation.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS, Heartbeat


class ReaderTable:
    """Times of the readers' last confirmation by the store, by name.

    Parameters
    ----------
    own : str
        Name of this balancer, which is left out.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._confirmed_at: dict[str, Millis] = {}
        self._not_reader_at: dict[str, Millis] = {}

    def receive_heartbeat(self, heartbeat: Heartbeat, now: Millis) -> None:
        """Apply a heartbeat from this data centre."""
        name = heartbeat.member.name
        if heartbeat.is_reader:
            self._not_reader_at.pop(name, None)
            self._record_confirmation(name, now - heartbeat.confirmed_age)
        else:
            self._confirmed_at.pop(name, None)
            self._not_reader_at[name] = now
        if heartbeat.first_reader is not None:
            reader_name, age = heartbeat.first_reader
            self._record_confirmation(reader_name, now - age)

    def confirmed_ages(self, now: Millis) -> dict[str, Millis]:
        """Return the ages of confirmations that are recent enough, by reader."""
        return {
            name: now - at
            for name, at in self._confirmed_at.items()
            if now - at <= MAX_CONFIRMED_AGE_MILLIS
        }

    def expire(self, now: Millis) -> None:
        """Remove entries older than `MAX_CONFIRMED_AGE_MILLIS`."""
        oldest = now - MAX_CONFIRMED_AGE_MILLIS
        for times in (self._confirmed_at, self._not_reader_at):
            for name in [name for name, at in times.items() if at < oldest]:
                del times[name]

    def _record_confirmation(self, name: str, at: Millis) -> None:
        """Record a confirmation unless the member later reported not to be a reader."""
        if name != self._own and at > self._not_reader_at.get(name, -1):
            self._confirmed_at[name] = max(at, self._confirmed_at.get(name, at))
