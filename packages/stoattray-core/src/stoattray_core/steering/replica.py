"""A balancer's copy of the platform's records, monotone by revision.

Invariant: the record held under a key never gets older, whatever the store or a
peer offers, and `revision` never falls. A copy at revision R knows every change
up to R, so a peer may take the difference from any copy.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

MAX_DELETED = 2_000
"""Deleted keys remembered for peers; each takes about 200 bytes of 16 MB."""


class Record(NamedTuple):
    """One key of the store; a value of None means that it was deleted."""

    key: str
    revision: int
    value: bytes | None


class Difference(NamedTuple):
    """What changed after a revision.

    Parameters
    ----------
    revision : int
        The difference is complete up to here.
    records : list of Record
        Changed records, deletions included.
    is_whole : bool
        Whether these are all records, so that any other key is deleted.
    """

    revision: int
    records: list[Record]
    is_whole: bool


class Replica:
    """Records by key, with the revision up to which they are complete."""

    def __init__(self) -> None:
        self._revision = 0
        self._records: dict[str, Record] = {}
        self._deleted: OrderedDict[str, int] = OrderedDict()
        self._deleted_floor = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which every change is known."""
        return self._revision

    def get(self, key: str) -> Record | None:
        """Return the record under `key`, or None."""
        return self._records.get(key)

    def merge(self, difference: Difference) -> list[Record]:
        """Take what is newer and return the records that changed.

        Parameters
        ----------
        difference : Difference
            From the store or a peer; older records are left out.
        """
        changed = [record for record in difference.records if self._take(record)]
        if difference.is_whole:
            changed.extend(self._delete_missing(difference))
        self._revision = max(self._revision, difference.revision)
        return changed

    def since(self, after: int) -> Difference:
        """Return what changed after a revision, or all where that is forgotten."""
        if after < self._deleted_floor or after == 0:
            return Difference(self._revision, list(self._records.values()), True)
        records = [held for held in self._records.values() if held.revision > after]
        records.extend(
            Record(key, revision, None)
            for key, revision in self._deleted.items()
            if revision > after
        )
        return Difference(self._revision, records, False)

    def _take(self, record: Record) -> bool:
        held = self._records.get(record.key)
        held_revision = held.revision if held else self._deleted.get(record.key, 0)
        if record.revision <= held_revision:
            return False
        if record.value is None:
            self._delete(record.key, record.revision)
            return held is not None
        self._deleted.pop(record.key, None)
        self._records[record.key] = record
        return True

    def _delete(self, key: str, revision: int) -> None:
        self._records.pop(key, None)
        self._deleted[key] = revision
        self._deleted.move_to_end(key)
        while len(self._deleted) > MAX_DELETED:
            _, forgotten = self._deleted.popitem(last=False)
            self._deleted_floor = max(self._deleted_floor, forgotten)

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
