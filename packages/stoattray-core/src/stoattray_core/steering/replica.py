"""A balancer's replica of the platform's store, monotonic by revision.

Invariant: neither the revision of a key's record nor `revision` ever decreases,
whatever the store or a peer sends. A replica at revision R contains every change up to
R, so a peer may take a difference from any replica.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

MAX_TOMBSTONES = 2_000
"""Limit on tombstones kept for peers; each takes about 200 bytes of 16 MB."""


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
    """

    revision: int
    records: list[Record]
    is_snapshot: bool


class Replica:
    """Records by key, with the revision up to which they are complete."""

    def __init__(self) -> None:
        self._revision = 0
        self._records: dict[str, Record] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._compacted_revision = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which the replica is complete."""
        return self._revision

    def get(self, key: str) -> Record | None:
        """Return the record under `key`, or None."""
        return self._records.get(key)

    def merge(self, difference: Difference) -> list[Record]:
        """Apply newer records and return those that changed.

        Parameters
        ----------
        difference : Difference
            Changes from the store or a peer; older records are ignored.
        """
        changed = [record for record in difference.records if self._apply(record)]
        if difference.is_snapshot:
            changed.extend(self._delete_missing(difference))
        self._revision = max(self._revision, difference.revision)
        return changed

    def changes_since(self, after: int) -> Difference:
        """Return the changes after a revision, or a snapshot if tombstones are gone."""
        if after < self._compacted_revision or after == 0:
            return Difference(self._revision, list(self._records.values()), True)
        records = [held for held in self._records.values() if held.revision > after]
        records.extend(
            Record(key, revision, None)
            for key, revision in self._tombstones.items()
            if revision > after
        )
        return Difference(self._revision, records, False)

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
