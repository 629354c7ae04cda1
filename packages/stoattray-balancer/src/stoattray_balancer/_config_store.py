"""Configuration entries of the platform's store, changed by compare-and-swap."""

import uuid

from stoattray_balancer._store import Precondition, Put, Store, StoredEntry
from stoattray_core import Core, ErrorKind, Refused, StoattrayError

MISSING_ENTRY = StoredEntry(revision=0, change_id="", value=None)


class ConfigStore:
    """Reads and writes entries, and passes changes to the core.

    Parameters
    ----------
    core : Core
        Receives each change immediately after it is written.
    store : Store or None
        The platform; None if this balancer has none.
    """

    def __init__(self, core: Core, store: Store | None) -> None:
        self._core = core
        self._store = store

    def refresh(self) -> bool:
        """Pass new changes to the core; return whether the store could be read."""
        if self._store is None:
            return False
        after = self._core.config_revision
        changes = self._store.read(after)
        if isinstance(changes, Refused):
            return False
        self._core.on_config(after, changes.revision, changes.entries)
        return True

    def get(self, key: str) -> StoredEntry:
        """Return the entry of a key; one that never existed has revision 0.

        Raises
        ------
        StoattrayError
            PLATFORM_UNAVAILABLE if the store can't be reached.
        """
        entry = self._require_store().get(key)
        if isinstance(entry, Refused):
            reason = (
                f"the platform did not answer ({entry.detail}); nothing was changed"
            )
            raise StoattrayError(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return entry or MISSING_ENTRY

    def write(
        self, preconditions: list[Precondition], puts: list[Put], check: str
    ) -> int:
        """Write several entries in one transaction; return the new revision.

        Parameters
        ----------
        preconditions : list of Precondition
            Required revisions; the first one is that of the first put's key.
        puts : list of Put
            New values.
        check : str
            Command of ``stoattrayctl`` that shows whether the change was applied.

        Raises
        ------
        StoattrayError
            CONFLICT or PLATFORM_UNAVAILABLE (not applied), or OUTCOME_UNKNOWN.
        """
        change_id = uuid.uuid4().hex
        result = self._require_store().write(preconditions, puts, change_id)
        if isinstance(result, Refused):
            raise StoattrayError(result.kind, _refusal_reason(result, check))
        self.refresh()
        return result

    def _require_store(self) -> Store:
        if self._store is None:
            reason = "no platform is configured; nothing was changed"
            raise StoattrayError(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return self._store


def check_revision(entry: StoredEntry, expected: int) -> int:
    """Return the revision to compare with.

    Clients give a missing or deleted resource as revision 0; the store compares
    with the revision of its tombstone.

    Raises
    ------
    StoattrayError
        CONFLICT if `expected` is not the current revision.
    """
    current = 0 if entry.value is None else entry.revision
    if expected != current:
        reason = f"revision {expected} was given, the current one is {current}"
        raise StoattrayError(ErrorKind.CONFLICT, reason)
    return entry.revision


def _refusal_reason(refused: Refused, check: str) -> str:
    if refused.kind is ErrorKind.OUTCOME_UNKNOWN:
        return (
            f"the platform's response was lost ({refused.detail}), so it is unknown "
            f"whether the change was applied; check with: stoattrayctl {check}"
        )
    if refused.kind is ErrorKind.CONFLICT:
        return f"not applied: {refused.detail}"
    return f"not applied: the platform did not answer ({refused.detail})"
