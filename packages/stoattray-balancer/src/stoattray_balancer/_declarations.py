"""Declared services, changed by compare-and-swap on the platform's store."""

from dataclasses import dataclass

from stoattray_balancer._config_store import ConfigStore, check_revision
from stoattray_balancer._store import Precondition, Put
from stoattray_core import Core, ErrorKind, StoattrayError
from stoattray_core.resources import ServiceModel, load_stored_service


@dataclass(frozen=True, slots=True)
class DeclaredService:
    """A service with the revision at which it was last changed.

    Parameters
    ----------
    revision : int
        0 if the service does not exist.
    service : ServiceModel or None
        None if the service does not exist.
    """

    revision: int
    service: ServiceModel | None


class Declarations:
    """Reads and changes the services that operators have declared.

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

    def list_in_force(self, organisation: str) -> list[DeclaredService]:
        """Return the services in force on this balancer.

        Parameters
        ----------
        organisation : str
            Whose services to return; ``*`` for all organisations.
        """
        services: list[DeclaredService] = []
        for key, entry in sorted(self._core.tables.entries.items()):
            if not key.startswith("services/") or entry.value is None:
                continue
            service = load_stored_service(entry.value)
            if service is None:
                continue
            if organisation in ("*", service.organisation):
                services.append(DeclaredService(entry.revision, service))
        return services

    def get(self, organisation: str, name: str) -> DeclaredService:
        """Return a service as the store holds it.

        Raises
        ------
        StoattrayError
            PLATFORM_UNAVAILABLE if the store can't be reached.
        """
        entry = self._store.get(f"services/{organisation}/{name}")
        if entry.value is None:
            return DeclaredService(0, None)
        return DeclaredService(entry.revision, load_stored_service(entry.value))

    def put(self, service: ServiceModel, expected: int) -> int:
        """Create or change a service; return the new revision.

        Parameters
        ----------
        service : ServiceModel
            The new declaration.
        expected : int
            Revision that the change is based on; 0 to create.

        Raises
        ------
        StoattrayError
            CONFLICT or PLATFORM_UNAVAILABLE (not applied), OUTCOME_UNKNOWN, or
            INVALID_ARGUMENT if the policy would change.
        """
        key = f"services/{service.service}"
        entry = self._store.get(key)
        preconditions = [Precondition(key, check_revision(entry, expected))]
        puts = [Put(key, service.model_dump_json())]
        address_key = f"addresses/{service.spec.key:x}"
        address_entry = self._store.get(address_key)
        if address_entry.value not in (None, service.service):
            reason = (
                f"spec.address {service.spec.address}:{service.spec.port}: "
                "in use by another service; expected a free address"
            )
            raise StoattrayError(ErrorKind.CONFLICT, reason)
        preconditions.append(Precondition(address_key, address_entry.revision))
        puts.append(Put(address_key, service.service))
        previous = load_stored_service(entry.value) if entry.value is not None else None
        if previous is not None and previous.spec.policy != service.spec.policy:
            reason = (
                f"spec.policy={service.spec.policy.value!r}: expected "
                f"{previous.spec.policy.value!r}; a service's policy can't change"
            )
            raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
        if previous is not None and previous.spec.key != service.spec.key:
            self._release_address(previous, preconditions, puts)
        return self._store.write(preconditions, puts, f"get {service.service}")

    def delete(self, organisation: str, name: str, expected: int) -> int:
        """Delete a service; return the new revision.

        Raises
        ------
        StoattrayError
            NOT_FOUND, CONFLICT, PLATFORM_UNAVAILABLE or OUTCOME_UNKNOWN.
        """
        key = f"services/{organisation}/{name}"
        entry = self._store.get(key)
        if entry.value is None:
            reason = f"service {organisation}/{name} does not exist"
            raise StoattrayError(ErrorKind.NOT_FOUND, reason)
        preconditions = [Precondition(key, check_revision(entry, expected))]
        puts = [Put(key, None)]
        previous = load_stored_service(entry.value)
        if previous is not None:
            self._release_address(previous, preconditions, puts)
        return self._store.write(preconditions, puts, f"get {organisation}/{name}")

    def _release_address(
        self, service: ServiceModel, preconditions: list[Precondition], puts: list[Put]
    ) -> None:
        address_key = f"addresses/{service.spec.key:x}"
        entry = self._store.get(address_key)
        if entry.value == service.service:
            preconditions.append(Precondition(address_key, entry.revision))
            puts.append(Put(address_key, None))
