"""Whether the platform's store is well, told from its answers and by peers."""

from enum import Enum

from stoattray_core._identifiers import Millis

SILENT_MILLIS = 6_000
"""A reader that had no answer for so long was frozen or cut off meanwhile; answers
come each 1.8 s at least."""


class StoreState(Enum):
    """What is believed of the store."""

    UNKNOWN = "unknown"
    WELL = "well"
    UNWELL = "unwell"


class StoreHealth:
    """Belief about the store; a return starts the time that lapsed records have.

    Parameters
    ----------
    settle : Millis
        How long after a return a missing record may still come back.
    """

    def __init__(self, settle: Millis) -> None:
        self._settle = settle
        self._state = StoreState.UNKNOWN
        self._returned_at: Millis | None = None
        self._answered_at: Millis | None = None

    @property
    def state(self) -> StoreState:
        """Return what is believed now."""
        return self._state

    def note_answer(self, now: Millis) -> bool:
        """Note a good answer; return whether the store has come back by it."""
        if self._state is StoreState.WELL and self._was_silent(now):
            self._state = StoreState.UNWELL
        came_back = self._state is StoreState.UNWELL
        self._state = StoreState.WELL
        self._answered_at = now
        if came_back:
            self._returned_at = now
        return came_back

    def note_failure(self) -> bool:
        """Note a failed call; return whether the store was well until then."""
        was_well = self._state is StoreState.WELL
        self._state = StoreState.UNWELL
        return was_well

    def note_peer_return(self, age: Millis, now: Millis) -> None:
        """Take from a peer that the store came back `age` ago."""
        returned_at = now - age
        if self._returned_at is None or returned_at > self._returned_at:
            self._returned_at = returned_at

    def return_age(self, now: Millis) -> Millis | None:
        """Return how long ago the store came back, or None if never."""
        return None if self._returned_at is None else now - self._returned_at

    def is_settled(self, now: Millis) -> bool:
        """Return whether a missing record means that its writer has gone."""
        if self._state is StoreState.UNWELL:
            return False
        return self._returned_at is None or now - self._returned_at >= self._settle

    def _was_silent(self, now: Millis) -> bool:
        return self._answered_at is not None and now - self._answered_at > SILENT_MILLIS
