"""A balancer's replica of the platform's store, monotonic by version.

The store can return from an older copy. It then starts a new era, in which it assigns
revisions again, so versions are pairs of era and revision.

Invariant: neither `version` nor, within one era, the revision of a key's record ever
decreases, whatever the store or a peer sends. A replica at a version contains every
change of that era up to its revision, so a peer may take a difference from any replica.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

MAX_TOMBSTONES = 2_000
"""Limit on tombstones kept for peers; each takes about 200 bytes of 16 MB."""


class Version(NamedTuple):
    """Point in the history of the store; later ones compare greater."""

    era: int
    revision: int


class Record(NamedTuple):
    """One key of the store; a value of None marks a deletion."""

    key: str
    revision: int
    value: bytes | None


class Difference(NamedTuple):
    """Changes after a revision, or a snapshot of all records.

    Parameters
    ----------
    revision : int
        Revision up to which the changes are complete.
    records : list of Record
        Changed records, including deletions.
    is_snapshot : bool
        Whether these are all records, so that any other key is deleted.
    era : int
        Era of the store that the revisions belong to.
    """

    revision: int
    records: list[Record]
    is_snapshot: bool
    era: int = 0

    @property
    def version(self) -> Version:
        """Return the version up to which the changes are complete."""
        return Version(self.era, self.revision)


class Replica:
    """Records by key, with the version up to which they are complete."""

    def __init__(self) -> None:
        self._era = 0
        self._revision = 0
        self._records: dict[str, Record] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._compacted_revision = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which the replica is complete."""
        return self._revision

    @property
    def version(self) -> Version:
        """Return the version up to which the replica is complete."""
        return Version(self._era, self._revision)

    def get(self, key: str) -> Record | None:
        """Return the record under `key`, or None."""
        return self._records.get(key)

    def merge(self, difference: Difference) -> list[Record]:
        """Apply newer records and return those that changed.

        Parameters
        ----------
        difference : Difference
            Changes from the store or a peer; older records are ignored. Nothing is
            applied of changes up to an earlier revision: keys that were deleted since
            may be unknown here. Of a newer era only a snapshot is applied, and of an
            older one nothing.

        Returns
        -------
        list of Record
            Records that differ from the held ones, including deletions.
        """
        if difference.era != self._era:
            is_newer = difference.era > self._era
            if is_newer and difference.is_snapshot:
                return self._replace(difference)
            return []
        if difference.revision < self._revision:
            return []
        changed = [record for record in difference.records if self._apply(record)]
        if difference.is_snapshot:
            changed.extend(self._delete_missing(difference))
            self._note_snapshot(difference.revision)
        self._revision = max(self._revision, difference.revision)
        return changed

    def changes_since(self, after: Version) -> Difference:
        """Return the changes after a version.

        It is a snapshot if the version is of an older era or the tombstones since then
        are gone. After a version of a newer era there are no changes.
        """
        if after.era > self._era:
            return Difference(self._revision, [], False, self._era)
        is_older_era = after.era < self._era
        revision = after.revision
        if is_older_era or revision < self._compacted_revision or revision == 0:
            records = list(self._records.values())
            return Difference(self._revision, records, True, self._era)
        records = [held for held in self._records.values() if held.revision > revision]
        records.extend(
            Record(key, deleted_at, None)
            for key, deleted_at in self._tombstones.items()
            if deleted_at > revision
        )
        return Difference(self._revision, records, False, self._era)

    def _replace(self, snapshot: Difference) -> list[Record]:
        """Replace all records by the snapshot of a newer era; return the changes."""
        before = self._records
        self._era, self._revision = snapshot.era, snapshot.revision
        self._records = {record.key: record for record in snapshot.records}
        self._tombstones.clear()
        self._compacted_revision = snapshot.revision
        changed = [
            record
            for record in snapshot.records
            if record.key not in before or before[record.key].value != record.value
        ]
        changed.extend(
            Record(key, snapshot.revision, None)
            for key in before
            if key not in self._records
        )
        return changed

    def _apply(self, record: Record) -> bool:
        held = self._records.get(record.key)
        held_revision = held.revision if held else self._tombstones.get(record.key, 0)
        if record.revision <= held_revision:
            return False
        if record.value is None:
            self._delete(record.key, record.revision)
            return held is not None
        self._tombstones.pop(record.key, None)
        self._records[record.key] = record
        return True

    def _delete(self, key: str, revision: int) -> None:
        self._records.pop(key, None)
        self._tombstones[key] = revision
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, evicted = self._tombstones.popitem(last=False)
            self._compacted_revision = max(self._compacted_revision, evicted)

    def _note_snapshot(self, revision: int) -> None:
        """Note that deletions up to `revision` of keys never held here are unknown."""
        if revision > self._revision:
            self._compacted_revision = max(self._compacted_revision, revision)

    def _delete_missing(self, difference: Difference) -> Iterable[Record]:
        present = {record.key for record in difference.records}
        missing = [
            held.key
            for held in self._records.values()
            if held.key not in present and held.revision <= difference.revision
        ]
        for key in missing:
            self._delete(key, difference.revision)
            yield Record(key, difference.revision, None)
