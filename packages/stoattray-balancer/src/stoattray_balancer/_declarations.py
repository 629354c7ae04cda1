"""Changes to declared services: compare-and-swap on the platform's store."""

import uuid
from dataclasses import dataclass

from stoattray_balancer._store import HeldEntry, Precondition, Put, Store
from stoattray_core import Core, ErrorKind, Refused, StoattrayError
from stoattray_core.resources import ServiceModel, read_service

NEVER = HeldEntry(revision=0, change_id="", value=None)


@dataclass(frozen=True, slots=True)
class Declared:
    """A service with the revision at which it was last changed.

    Parameters
    ----------
    revision : int
        0 if there is no such service.
    service : ServiceModel or None
        None if there is no such service.
    """

    revision: int
    service: ServiceModel | None


class Declarations:
    """Reads and changes what operators have declared.

    Parameters
    ----------
    core : Core
        Is told of each change at once.
    store : Store or None
        The platform; None if this balancer has none.
    """

    def __init__(self, core: Core, store: Store | None) -> None:
        self._core = core
        self._store = store

    def list_local(self, organisation: str) -> list[Declared]:
        """Return the services in force on this balancer, ``*`` for all."""
        found: list[Declared] = []
        for key, entry in sorted(self._core.tables.entries.items()):
            if not key.startswith("services/") or entry.value is None:
                continue
            service = read_service(entry.value)
            if service is None:
                continue
            if organisation in ("*", service.organisation):
                found.append(Declared(entry.revision, service))
        return found

    def get(self, organisation: str, name: str) -> Declared:
        """Return a service as the platform holds it.

        Raises
        ------
        StoattrayError
            PLATFORM_UNAVAILABLE if the platform can't be asked.
        """
        held = self._held(f"services/{organisation}/{name}")
        if held.value is None:
            return Declared(0, None)
        return Declared(held.revision, read_service(held.value))

    def put(self, service: ServiceModel, expected: int) -> int:
        """Create or change a service; return the new revision.

        Parameters
        ----------
        service : ServiceModel
            What is declared.
        expected : int
            Revision that the change is based on; 0 to create.

        Raises
        ------
        StoattrayError
            CONFLICT, PLATFORM_UNAVAILABLE (not applied) or OUTCOME_UNKNOWN.
        """
        key = f"services/{service.service}"
        held = self._held(key)
        conditions = [Precondition(key, self._check_revision(held, expected))]
        puts = [Put(key, service.model_dump_json())]
        claim = f"addresses/{service.spec.key:x}"
        claimed = self._held(claim)
        if claimed.value not in (None, service.service):
            reason = (
                f"spec.address {service.spec.address}:{service.spec.port}: "
                "another service has it; expected a free address"
            )
            raise StoattrayError(ErrorKind.CONFLICT, reason)
        conditions.append(Precondition(claim, claimed.revision))
        puts.append(Put(claim, service.service))
        before = read_service(held.value) if held.value is not None else None
        if before is not None and before.spec.policy != service.spec.policy:
            reason = (
                f"spec.policy={service.spec.policy.value!r}: expected "
                f"{before.spec.policy.value!r}; the policy of a service never changes"
            )
            raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
        if before is not None and before.spec.key != service.spec.key:
            self._release(before, conditions, puts)
        return self._write(conditions, puts)

    def delete(self, organisation: str, name: str, expected: int) -> int:
        """Delete a service; return the new revision.

        Raises
        ------
        StoattrayError
            NOT_FOUND, CONFLICT, PLATFORM_UNAVAILABLE or OUTCOME_UNKNOWN.
        """
        key = f"services/{organisation}/{name}"
        held = self._held(key)
        if held.value is None:
            reason = f"service {organisation}/{name} does not exist"
            raise StoattrayError(ErrorKind.NOT_FOUND, reason)
        conditions = [Precondition(key, self._check_revision(held, expected))]
        puts = [Put(key, None)]
        before = read_service(held.value)
        if before is not None:
            self._release(before, conditions, puts)
        return self._write(conditions, puts)

    def refresh(self) -> bool:
        """Read what is new on the platform; return whether it answered."""
        if self._store is None:
            return False
        after = self._core.config_revision
        changes = self._store.read(after)
        if isinstance(changes, Refused):
            return False
        self._core.on_config(after, changes.revision, changes.entries)
        return True

    def _check_revision(self, held: HeldEntry, expected: int) -> int:
        """Return the revision to compare with; a deleted entry counts as 0."""
        current = 0 if held.value is None else held.revision
        if expected != current:
            reason = f"revision {expected} was given, the current one is {current}"
            raise StoattrayError(ErrorKind.CONFLICT, reason)
        return held.revision

    def _release(
        self, service: ServiceModel, conditions: list[Precondition], puts: list[Put]
    ) -> None:
        claim = f"addresses/{service.spec.key:x}"
        held = self._held(claim)
        if held.value == service.service:
            conditions.append(Precondition(claim, held.revision))
            puts.append(Put(claim, None))

    def _held(self, key: str) -> HeldEntry:
        held = self._required_store().get(key)
        if isinstance(held, Refused):
            reason = f"the platform did not answer ({held.detail}); nothing was changed"
            raise StoattrayError(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return held or NEVER

    def _write(self, conditions: list[Precondition], puts: list[Put]) -> int:
        change_id = uuid.uuid4().hex
        result = self._required_store().write(conditions, puts, change_id)
        if isinstance(result, Refused):
            raise StoattrayError(result.kind, _describe(result, puts[0].key))
        self.refresh()
        return result

    def _required_store(self) -> Store:
        if self._store is None:
            reason = "this balancer has no platform; nothing was changed"
            raise StoattrayError(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return self._store


def _describe(refused: Refused, key: str) -> str:
    if refused.kind is ErrorKind.OUTCOME_UNKNOWN:
        name = key.removeprefix("services/")
        return (
            f"the platform's answer was lost ({refused.detail}) and it can't be told "
            f"whether the change took effect; find out with: stoattrayctl get {name}"
        )
    if refused.kind is ErrorKind.CONFLICT:
        return f"not applied: {refused.detail}"
    return f"not applied: the platform did not answer ({refused.detail})"
