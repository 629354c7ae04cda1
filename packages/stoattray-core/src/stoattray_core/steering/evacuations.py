"""Evacuated data centres, whose backend servers get no new flows.

The records of the replica decide, so balancers with the same version exclude the same
data centres. After a return of the store from an older copy, two things that this
balancer has seen count for more than the copy:

1. An evacuation that has ended is not restored by a record that is in the copy.
2. An evacuation in force that the copy lacks is kept until its record is written and
   removed again, but at most for `EVACUATION_KEPT_MILLIS`.

Invariant: within one era, a data centre is evacuated exactly while the replica holds a
record of it that is not outdated, or while its evacuation is kept.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from stoattray_core._identifiers import Millis

EVACUATION_KEPT_MILLIS = 60_000
"""Longest time for which an evacuation that the copy lacks stays in force. Operators
write lost records again within seconds; if they do not, they may have ended it."""


class EvacuationState(StrEnum):
    """Change of a data centre's evacuation, as logged."""

    BEGUN = "begun"
    ENDED = "ended"
    KEPT = "kept"


class EvacuationChange(NamedTuple):
    """Change of one data centre's evacuation.

    Parameters
    ----------
    data_centre : str
        The data centre.
    state : EvacuationState
        What has changed.
    revision : int
        Revision of the record, its removal or the copy that caused the change.
    """

    data_centre: str
    state: EvacuationState
    revision: int


class _Evacuation:
    """What is known of one data centre's evacuations.

    Attributes
    ----------
    revision : int
        Revision up to which its records are known; later ones are new.
    is_in_force : bool
        Whether the data centre is evacuated.
    kept_until : Millis or None
        When an evacuation that the copy lacks ends; None if its record exists.
    ended_at : Millis or None
        When its last evacuation ended; None if none has.
    """

    __slots__ = ("ended_at", "is_in_force", "kept_until", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.is_in_force = False
        self.kept_until: Millis | None = None
        self.ended_at: Millis | None = None


class Evacuations:
    """Set of evacuated data centres, derived from the records of one replica."""

    def __init__(self) -> None:
        self._rows: dict[str, _Evacuation] = {}
        self._evacuated: set[str] = set()
        self._n_changes = 0

    def __len__(self) -> int:
        return len(self._evacuated)

    @property
    def n_changes(self) -> int:
        """Return how often the set has changed."""
        return self._n_changes

    @property
    def has_kept(self) -> bool:
        """Return whether an evacuation is kept although the store lacks its record."""
        return any(row.kept_until is not None for row in self._rows.values())

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether servers of a data centre get no new flows."""
        return data_centre in self._evacuated

    def ended_at(self, data_centre: str) -> Millis | None:
        """Return when this balancer last saw an evacuation end; None if it never did.

        An evacuation that is in force does not change the end of the one before.
        """
        row = self._rows.get(data_centre)
        return None if row is None else row.ended_at

    def begin(self, data_centre: str, revision: int) -> EvacuationChange | None:
        """Apply a record of an evacuation.

        Parameters
        ----------
        data_centre : str
            The data centre.
        revision : int
            Revision of the record; one that is known to be superseded is ignored.

        Returns
        -------
        EvacuationChange or None
            The begin; None if the record changes nothing.
        """
        row = self._rows.setdefault(data_centre, _Evacuation())
        if revision <= row.revision:
            return None
        was_listed = row.is_in_force and row.kept_until is None
        row.revision = revision
        row.kept_until = None
        row.is_in_force = True
        self._evacuated.add(data_centre)
        self._n_changes += 1
        if was_listed:
            return None
        return EvacuationChange(data_centre, EvacuationState.BEGUN, revision)

    def end(
        self, data_centre: str, revision: int, now: Millis
    ) -> EvacuationChange | None:
        """Apply the removal of an evacuation's record.

        Parameters
        ----------
        data_centre : str
            The data centre.
        revision : int
            Revision of the removal. One that the copy held does not end a kept
            evacuation.
        now : Millis
            Current time.

        Returns
        -------
        EvacuationChange or None
            The end; None if no evacuation was in force.
        """
        row = self._rows.get(data_centre)
        if row is None or not row.is_in_force:
            return None
        if row.kept_until is not None and revision <= row.revision:
            return None
        return self._end(data_centre, revision, now)

    def restore(
        self, revisions: Mapping[str, int], copy_revision: int, now: Millis
    ) -> list[EvacuationChange]:
        """Apply the first snapshot of a new era, which may hold an older copy.

        Parameters
        ----------
        revisions : mapping of str to int
            Revisions of all records of evacuations in the snapshot, by data centre.
        copy_revision : int
            Revision of the snapshot. Later records of this era are new.
        now : Millis
            Current time.

        Returns
        -------
        list of EvacuationChange
            What has changed, by name of the data centre.
        """
        changes = []
        for data_centre in sorted(self._rows.keys() | revisions.keys()):
            revision = revisions.get(data_centre)
            row = self._rows.setdefault(data_centre, _Evacuation())
            change = None
            if revision is None:
                change = self._keep(data_centre, row, copy_revision, now)
            elif row.is_in_force or revision > row.revision:
                # The revision known from the era before does not order this record.
                row.revision = 0
                change = self.begin(data_centre, revision)
            row.revision = min(row.revision, copy_revision)
            if change is not None:
                changes.append(change)
        return changes

    def expire(self, now: Millis) -> list[EvacuationChange]:
        """End the evacuations that were kept for too long."""
        expired = [
            data_centre
            for data_centre, row in self._rows.items()
            if row.kept_until is not None and now >= row.kept_until
        ]
        return [
            self._end(data_centre, self._rows[data_centre].revision, now)
            for data_centre in sorted(expired)
        ]

    def _keep(
        self, data_centre: str, row: _Evacuation, copy_revision: int, now: Millis
    ) -> EvacuationChange | None:
        """Keep an evacuation that the copy lacks, if it is in force and not yet kept.

        Its revision becomes that of the copy, as only a later removal may end it.
        """
        if not row.is_in_force:
            return None
        row.revision = copy_revision
        if row.kept_until is not None:
            return None
        row.kept_until = now + EVACUATION_KEPT_MILLIS
        return EvacuationChange(data_centre, EvacuationState.KEPT, copy_revision)

    def _end(self, data_centre: str, revision: int, now: Millis) -> EvacuationChange:
        row = self._rows[data_centre]
        row.is_in_force = False
        row.kept_until = None
        row.ended_at = now
        self._evacuated.discard(data_centre)
        self._n_changes += 1
        return EvacuationChange(data_centre, EvacuationState.ENDED, revision)
