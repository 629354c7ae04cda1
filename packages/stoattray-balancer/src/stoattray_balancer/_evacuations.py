"""Evacuations of data centres, changed by compare-and-swap on the platform's store."""

from dataclasses import dataclass

from stoattray_balancer._config_store import ConfigStore, check_revision
from stoattray_balancer._store import Precondition, Put
from stoattray_core import Core, ErrorKind, StoattrayError
from stoattray_core.resources import EvacuationModel

PREFIX = "evacuations/"
CHECK_COMMAND = "status"


@dataclass(frozen=True, slots=True)
class DeclaredEvacuation:
    """An evacuation with the revision at which it was last written.

    Parameters
    ----------
    data_centre : str
        Its data centre.
    revision : int
        0 if the data centre is not evacuated.
    """

    data_centre: str
    revision: int


class Evacuations:
    """Reads and changes the evacuations that operators have requested.

    Parameters
    ----------
    core : Core
        Source of the configuration in force.
    store : ConfigStore
        Reads and writes the platform's entries.
    """

    def __init__(self, core: Core, store: ConfigStore) -> None:
        self._core = core
        self._store = store

    def list_in_force(self) -> list[DeclaredEvacuation]:
        """Return the evacuations in force on this balancer, by data centre."""
        tables = self._core.tables
        return [
            DeclaredEvacuation(name, tables.entries[PREFIX + name].revision)
            for name in sorted(tables.evacuated_data_centres)
        ]

    def get(self, data_centre: str) -> DeclaredEvacuation:
        """Return an evacuation as the store holds it.

        Raises
        ------
        StoattrayError
            PLATFORM_UNAVAILABLE if the store can't be reached.
        """
        entry = self._store.get(PREFIX + data_centre)
        revision = 0 if entry.value is None else entry.revision
        return DeclaredEvacuation(data_centre, revision)

    def put(self, evacuation: EvacuationModel, expected: int) -> int:
        """Request an evacuation; return the new revision.

        Parameters
        ----------
        evacuation : EvacuationModel
            The evacuation.
        expected : int
            Revision that the change is based on; 0 to create.

        Raises
        ------
        StoattrayError
            CONFLICT or PLATFORM_UNAVAILABLE (not applied), or OUTCOME_UNKNOWN.
        """
        key = PREFIX + evacuation.data_centre
        required = check_revision(self._store.get(key), expected)
        puts = [Put(key, evacuation.model_dump_json())]
        return self._store.write([Precondition(key, required)], puts, CHECK_COMMAND)

    def delete(self, data_centre: str, expected: int) -> int:
        """End an evacuation; return the new revision.

        Raises
        ------
        StoattrayError
            NOT_FOUND, CONFLICT, PLATFORM_UNAVAILABLE or OUTCOME_UNKNOWN.
        """
        key = PREFIX + data_centre
        entry = self._store.get(key)
        if entry.value is None:
            raise not_evacuated(data_centre)
        required = check_revision(entry, expected)
        preconditions = [Precondition(key, required)]
        return self._store.write(preconditions, [Put(key, None)], CHECK_COMMAND)


def not_evacuated(data_centre: str) -> StoattrayError:
    """Return the error for a data centre that has no evacuation."""
    return StoattrayError(
        ErrorKind.NOT_FOUND, f"data centre {data_centre!r} is not evacuated"
    )
