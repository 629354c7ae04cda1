"""Which balancers of the own data centre read the store, as heard and passed on.

One reads for all, the first by name. In a large data centre a balancer hears each other
one only every few seconds, so everyone passes on the first reader that it knows of,
with the age of that reader's last confirmation.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.member_terms import CONFIRMED_MILLIS, Heartbeat


class Readers:
    """When readers were last confirmed by the store, by name.

    Parameters
    ----------
    own : str
        Name of this balancer, which is never among them.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._confirmed: dict[str, Millis] = {}
        self._denied: dict[str, Millis] = {}

    def hear(self, heartbeat: Heartbeat, now: Millis) -> None:
        """Take a heartbeat from the own data centre."""
        name = heartbeat.member.name
        if heartbeat.is_reader:
            self._denied.pop(name, None)
            self._note(name, now - heartbeat.confirmed_age)
        else:
            self._confirmed.pop(name, None)
            self._denied[name] = now
        if heartbeat.reader is not None:
            passed_on, age = heartbeat.reader
            self._note(passed_on, now - age)

    def fresh(self, now: Millis) -> dict[str, Millis]:
        """Return the ages of confirmations that still count, by reader."""
        return {
            name: now - at
            for name, at in self._confirmed.items()
            if now - at <= CONFIRMED_MILLIS
        }

    def forget(self, now: Millis) -> None:
        """Drop what is too old to matter."""
        oldest = now - CONFIRMED_MILLIS
        for times in (self._confirmed, self._denied):
            for name in [name for name, at in times.items() if at < oldest]:
                del times[name]

    def _note(self, name: str, at: Millis) -> None:
        """Take a confirmation, unless the reader itself said later that it has none."""
        if name != self._own and at > self._denied.get(name, -1):
            self._confirmed[name] = max(at, self._confirmed.get(name, at))
