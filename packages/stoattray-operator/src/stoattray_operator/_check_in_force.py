"""Comparison of a declaration with the configuration in force."""

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from stoattray_core.configuration import ServerState
from stoattray_core.resources import ServiceModel, load_stored_service
from stoattray_operator._findings import DeclaredService, Fault, Severity
from stoattray_operator.client import Client

CREATED = "created"
CHANGED = "changed"
UNCHANGED = "unchanged"
NOT_DECLARED = "not declared"


@dataclass(frozen=True, slots=True)
class InForce:
    """What a balancer has in force.

    Parameters
    ----------
    revision : int
        Revision of its configuration.
    services : dict of str to dict
        Documents of the services of the declared organisations, by full name.
    evacuated : frozenset of str
        Evacuated data centres.
    """

    revision: int
    services: dict[str, dict[str, Any]]
    evacuated: frozenset[str]


@dataclass(frozen=True, slots=True)
class ValueChange:
    """One value that differs; None where a side lacks it."""

    path: str
    before: Any
    after: Any

    def to_json(self) -> dict[str, Any]:
        """Return the change as a JSON object."""
        return {"path": self.path, "before": self.before, "after": self.after}


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference of one service from the version in force."""

    service: str
    result: str
    changes: tuple[ValueChange, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the difference as a JSON object."""
        changes = [change.to_json() for change in self.changes]
        return {"service": self.service, "result": self.result, "changes": changes}


def read_in_force(client: Client, services: Sequence[DeclaredService]) -> InForce:
    """Read what a balancer has in force for the organisations of `services`.

    Raises
    ------
    StoattrayError
        If the API can't be reached or the token does not grant access.
    """
    status = client.get_status()
    documents: dict[str, dict[str, Any]] = {}
    for organisation in sorted({item.service.organisation for item in services}):
        for item in client.list_services(organisation)["items"]:
            document = item["service"]
            documents[f"{document['organisation']}/{document['name']}"] = document
    evacuated = frozenset(item["data_centre"] for item in status.get("evacuations", []))
    return InForce(int(status["revision"]), documents, evacuated)


def find_differences(
    services: Sequence[DeclaredService], in_force: InForce
) -> list[Difference]:
    """Return the difference of each declared service, then services not declared."""
    differences: list[Difference] = []
    for item in services:
        name = item.service.service
        before = in_force.services.get(name)
        if before is None:
            differences.append(Difference(name, CREATED))
            continue
        after = item.service.model_dump(mode="json")
        changes = tuple(_compare("", before, after))
        result = CHANGED if changes else UNCHANGED
        differences.append(Difference(name, result, changes))
    declared = {item.service.service for item in services}
    differences += [
        Difference(name, NOT_DECLARED)
        for name in sorted(in_force.services)
        if name not in declared
    ]
    return differences


def find_changed_policies(
    services: Sequence[DeclaredService], in_force: InForce
) -> Iterator[Fault]:
    """Find changes of a service's policy, which the API refuses."""
    for item in services:
        before = _service_in_force(in_force, item.service.service)
        spec = item.service.spec
        if before is not None and before.spec.policy is not spec.policy:
            yield Fault(
                (*item.path, "spec", "policy"),
                f"policy {spec.policy.value!r}: a service's policy can't change",
                f"{before.spec.policy.value!r}, which is in force",
            )


def find_taken_addresses(
    services: Sequence[DeclaredService], in_force: InForce
) -> Iterator[Fault]:
    """Find addresses of other services in force, which the API refuses.

    ``stoattrayctl apply`` declares services in the order of the file, so an address
    is free if an earlier one gives it up.
    """
    holders: dict[int, str] = {}
    keys: dict[str, int] = {}
    for name in in_force.services:
        before = _service_in_force(in_force, name)
        if before is not None:
            holders[before.spec.key] = name
            keys[name] = before.spec.key
    for item in services:
        spec = item.service.spec
        name = item.service.service
        holder = holders.get(spec.key, name)
        if holder != name:
            yield Fault(
                (*item.path, "spec", "address"),
                f"{spec.address}:{spec.port}/{spec.protocol.value} belongs to "
                f"{holder!r} in force",
                "a free address, or a change of the other service earlier in the file",
            )
        if name in keys:
            holders.pop(keys[name], None)


def find_evacuated_services(
    services: Sequence[DeclaredService], in_force: InForce
) -> Iterator[Fault]:
    """Find services whose active servers are all in evacuated data centres."""
    for item in services:
        active = [
            server
            for server in item.service.spec.backend_servers
            if server.state is ServerState.ACTIVE
        ]
        if active and all(
            server.data_centre in in_force.evacuated for server in active
        ):
            names = sorted({server.data_centre or "" for server in active})
            yield Fault(
                (*item.path, "spec", "backend_servers"),
                f"all active backend servers are in evacuated data centres "
                f"({', '.join(names)}), so no flow can reach one",
                "an active backend server elsewhere, or the end of an evacuation",
            )


IN_FORCE_RULES = (
    ("changed_policy", Severity.ERROR, find_changed_policies),
    ("taken_address", Severity.ERROR, find_taken_addresses),
    ("evacuated_service", Severity.WARNING, find_evacuated_services),
)
"""Name, severity and function of each rule that needs the version in force."""


def _service_in_force(in_force: InForce, name: str) -> ServiceModel | None:
    document = in_force.services.get(name)
    return None if document is None else load_stored_service(json.dumps(document))


def _compare(path: str, before: Any, after: Any) -> Iterator[ValueChange]:
    """Yield the values that differ; backend servers are compared by name."""
    if isinstance(before, list) and isinstance(after, list):
        before, after = (
            {f"[{item['name']}]": item for item in side} for side in (before, after)
        )
    elif isinstance(before, dict) and isinstance(after, dict):
        before, after = (
            {f".{key}": value for key, value in side.items()}
            for side in (before, after)
        )
    else:
        if before != after:
            yield ValueChange(path.removeprefix("."), before, after)
        return
    for key in dict.fromkeys([*before, *after]):
        yield from _compare(path + key, before.get(key), after.get(key))
