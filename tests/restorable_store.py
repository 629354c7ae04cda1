"""Store of the platform that can return from an older copy, without network.

What was written since the copy is lost, revisions are assigned again, and the era rises
by one. A watch after an unknown revision is refused.
"""

from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import Entry
from stoattray_core.steering.replica import Difference, Record
from tests.steering_builders import Balancer, EntryDecoder


class RestorableStore:
    """Records and their history; entries are encoded by `decoder`.

    Parameters
    ----------
    decoder : EntryDecoder
        Shared by all balancers that read the store.
    """

    def __init__(self, decoder: EntryDecoder) -> None:
        self.era = 0
        self.revision = 0
        self.records: dict[str, Record] = {}
        self._decoder = decoder
        self._history: list[Record] = []
        self._copy: tuple[int, dict[str, Record], list[Record]] = (0, {}, [])

    def write(self, key: str, entry: Entry) -> None:
        """Write an entry."""
        self.revision += 1
        record = self._decoder.record(key, self.revision, entry)
        self.records[key] = record
        self._history.append(record)

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        if self.records.pop(key, None) is not None:
            self.revision += 1
            self._history.append(Record(key, self.revision, None))

    def take_copy(self) -> None:
        """Take the copy that the store returns from."""
        self._copy = (self.revision, dict(self.records), list(self._history))

    def restore(self) -> None:
        """Return from the copy in a new era."""
        self.era += 1
        self.revision, records, history = self._copy
        self.records, self._history = dict(records), list(history)

    def read_all(self) -> Difference:
        """Return all records."""
        return Difference(self.revision, list(self.records.values()), True, self.era)

    def watch(self, after_revision: int, wait_ms: int) -> Difference | Refused:
        """Return the changes after a revision."""
        if after_revision > self.revision:
            return Refused(ErrorKind.HISTORY_GONE, "unknown revision")
        events = [
            record for record in self._history if record.revision > after_revision
        ]
        return Difference(self.revision, events, False, self.era)


def exchange(balancer: Balancer, peer: Balancer) -> None:
    """Let a balancer request from a peer what it lacks, as after a heartbeat."""
    if peer.steering.replica.version <= balancer.steering.replica.version:
        return
    difference = peer.steering.replica.changes_since(balancer.steering.replica.version)
    balancer.steering.apply_changes(difference, balancer.now)
