"""Rules for declarations that are valid one by one but cannot work as they read."""

import ipaddress
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from stoattray_core import ServerId
from stoattray_core.configuration import Policy, ServerState
from stoattray_core.declaration_limits import (
    MIN_REPORTED_IDLE_MILLIS,
    RESET_DELAY_MILLIS,
    shards_by_server,
)
from stoattray_core.resources import BackendServerModel, TransportProtocol
from stoattray_operator._findings import DeclaredService, Fault, Severity

Services = Sequence[DeclaredService]
LIMITED_BROADCAST = ipaddress.IPv4Address("255.255.255.255")
MILLIS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule with the severity of its findings."""

    name: str
    severity: Severity
    find: Callable[[Services], Iterator[Fault]]


def _servers(
    services: Services,
) -> Iterator[tuple[DeclaredService, int, BackendServerModel]]:
    for declared in services:
        for number, server in enumerate(declared.service.spec.backend_servers):
            yield declared, number, server


def _server_id(server: BackendServerModel) -> ServerId:
    return server.to_spec().server


def find_repeated_services(services: Services) -> Iterator[Fault]:
    """Find services whose name is taken; the last one would replace the others."""
    names: set[str] = set()
    for declared in services:
        name = declared.service.service
        if name in names:
            problem = f"service {name!r} is declared twice"
            yield Fault((*declared.path, "name"), problem, "one declaration of it")
        names.add(name)


def find_shadowed_services(services: Services) -> Iterator[Fault]:
    """Find services that get no flow, as their address belongs to an earlier one."""
    names_by_key: dict[int, str] = {}
    for declared in services:
        spec = declared.service.spec
        name = declared.service.service
        first = names_by_key.setdefault(spec.key, name)
        if first != name:
            yield Fault(
                (*declared.path, "spec", "address"),
                f"{spec.address}:{spec.port}/{spec.protocol.value} of {name!r} is "
                f"the address of {first!r}, so no flow can match this service",
                "an address, port and protocol that no other service has",
            )


def find_services_without_active_servers(services: Services) -> Iterator[Fault]:
    """Find services of which no server accepts new flows.

    A new service refuses all openings. Buckets that were placed before stay at
    their draining server, new flows included, as there is none to move them to.
    """
    for declared in services:
        servers = declared.service.spec.backend_servers
        if any(server.state is ServerState.ACTIVE for server in servers):
            continue
        problem = f"all backend servers are draining ({len(servers)})"
        if not servers:
            problem = "the service has no backend servers"
        yield Fault(
            (*declared.path, "spec", "backend_servers"),
            f"{problem}, so none accepts new flows",
            "at least one active backend server",
        )


def find_weights_without_shards(services: Services) -> Iterator[Fault]:
    """Find servers that get fewer shards than their weight.

    The shards are handed out in rounds in which a server takes as many as its
    weight. If the weights of a service exceed the number of shards, they are used up
    within the first round.
    """
    for declared in services:
        spec = declared.service.to_spec()
        counts = shards_by_server(spec)
        n_shards = sum(counts.values())
        total = sum(server.weight for server in spec.servers if server.server in counts)
        for number, server in enumerate(spec.servers):
            count = counts.get(server.server)
            if count is None or count >= server.weight:
                continue
            effect = f"it gets {count}"
            if count == 0:
                effect = "it gets none and no flow is placed there by weight"
            yield Fault(
                declared.server_path(number, "weight"),
                f"weight {server.weight} of {total}: the {n_shards} shards are used "
                f"up before this server has its share; {effect}",
                f"weights with a sum of {n_shards} at most",
            )


def find_shared_health_ports(services: Services) -> Iterator[Fault]:
    """Find health ports on which something else than the server may answer."""
    data_ports: dict[tuple[str, int], str] = {}
    health_ports: dict[tuple[str, int], tuple[str, int]] = {}
    for declared, _, server in _servers(services):
        if declared.service.spec.protocol is TransportProtocol.TCP:
            label = f"{server.name!r} of {declared.service.service!r}"
            data_ports.setdefault((server.address, server.port), label)
    for declared, number, server in _servers(services):
        if server.health_port is None or server.health_port == server.port:
            continue
        endpoint = (server.address, server.health_port)
        user = data_ports.get(endpoint)
        if user is None:
            first = health_ports.setdefault(endpoint, (server.name, server.port))
            if first[1] != server.port:
                user = f"the health checks of {first[0]!r} at port {first[1]}"
        if user is not None:
            yield Fault(
                declared.server_path(number, "health_port"),
                f"{server.address}:{server.health_port} is also the port of {user}, "
                "so the health check passes while this server is down",
                "the server's own port, or a port that only its health checks use",
            )


def find_different_health_ports(services: Services) -> Iterator[Fault]:
    """Find servers that several services probe at different ports.

    Probe results are counted by name and address, so those of both ports mix.
    """
    first_ports: dict[ServerId, tuple[int, str]] = {}
    for declared, number, server in _servers(services):
        if server.health_port is None:
            continue
        name = declared.service.service
        first = first_ports.setdefault(_server_id(server), (server.health_port, name))
        if first[0] != server.health_port:
            yield Fault(
                declared.server_path(number, "health_port"),
                f"health_port {server.health_port}, but {first[1]!r} declares the same "
                f"backend server with {first[0]}, and the results are counted together",
                "the same health_port in all services",
            )


def find_different_connection_limits(services: Services) -> Iterator[Fault]:
    """Find servers for which services declare different limits of one host."""
    first_limits: dict[ServerId, tuple[int, str]] = {}
    for declared, number, server in _servers(services):
        name = declared.service.service
        limit = server.max_connections
        first = first_limits.setdefault(_server_id(server), (limit, name))
        if first[0] != limit:
            yield Fault(
                declared.server_path(number, "max_connections"),
                f"max_connections {limit}, but {first[1]!r} declares the same backend "
                f"server with {first[0]}; the limit is that of the host",
                "the same max_connections in all services",
            )


def find_limits_below_weight(services: Services) -> Iterator[Fault]:
    """Find connection limits that do not let the balance policy reach the weights.

    The policy evens out open flows per unit of weight, so a server has as many flows
    as its weight before one with weight 1 gets its second.
    """
    for declared, number, server in _servers(services):
        is_balance = declared.service.spec.policy is Policy.BALANCE
        if is_balance and server.max_connections < server.weight:
            yield Fault(
                declared.server_path(number, "max_connections"),
                f"max_connections {server.max_connections} is below the weight "
                f"{server.weight}, by which the balance policy counts open flows",
                "a limit of at least the weight",
            )


def find_idle_limits_below_reset_delay(services: Services) -> Iterator[Fault]:
    """Find idle limits that end before the health checks reset a dead server's flows.

    After the idle limit, a silent flow of a failed server may continue at another
    server; only after the reset delay is the failure taken as certain.
    """
    delay = _seconds(RESET_DELAY_MILLIS)
    for declared in services:
        spec = declared.service.spec
        millis = declared.service.to_spec().idle_limit_millis
        is_probed = any(server.health_port for server in spec.backend_servers)
        if is_probed and millis < RESET_DELAY_MILLIS:
            yield Fault(
                (*declared.path, "spec", "idle_limit_seconds"),
                f"idle_limit_seconds {spec.idle_limit_seconds:g} ends before a failed "
                f"health check takes effect on open flows ({delay} s), so silent flows "
                "move to another backend server instead of a reset",
                f"at least {delay} where health_port is used",
            )


def find_idle_limits_below_reports(services: Services) -> Iterator[Fault]:
    """Find idle limits that are too short for the reports of flows in use."""
    for declared in services:
        millis = declared.service.to_spec().idle_limit_millis
        if millis < MIN_REPORTED_IDLE_MILLIS:
            seconds = declared.service.spec.idle_limit_seconds
            yield Fault(
                (*declared.path, "spec", "idle_limit_seconds"),
                f"idle_limit_seconds {seconds:g} leaves time for fewer reports between "
                "balancers that a flow is in use than intended; if one is lost or "
                "late, the flow may count as silent and move during a change",
                f"at least {_seconds(MIN_REPORTED_IDLE_MILLIS)}",
            )


def find_unusable_addresses(services: Services) -> Iterator[Fault]:
    """Find addresses that no packet of a flow can have as its destination."""
    for declared in services:
        spec = declared.service.spec
        if _is_unusable(spec.address):
            problem = f"{spec.address} is not an address of one host"
            path = (*declared.path, "spec", "address")
            yield Fault(path, problem, "a unicast address")
    for declared, number, server in _servers(services):
        if _is_unusable(server.address):
            path = declared.server_path(number, "address")
            problem = f"{server.address} is not an address of one host"
            yield Fault(path, problem, "a unicast address")


def find_servers_at_service_addresses(services: Services) -> Iterator[Fault]:
    """Find backend servers whose packets would come back to the balancers."""
    names = {item.service.spec.address: item.service.service for item in services}
    for declared, number, server in _servers(services):
        name = names.get(server.address)
        if name is not None:
            yield Fault(
                declared.server_path(number, "address"),
                f"{server.address} is the address of service {name!r}, so packets for "
                "this backend server come back to the balancers",
                "the address of the backend server's own host",
            )


def find_missing_data_centres(services: Services) -> Iterator[Fault]:
    """Find servers without a data centre in services that declare others with one."""
    for declared in services:
        servers = declared.service.spec.backend_servers
        if not any(server.data_centre for server in servers):
            continue
        for number, server in enumerate(servers):
            if server.data_centre is None:
                yield Fault(
                    declared.server_path(number),
                    f"{server.name!r} has no data_centre, but others of the service "
                    "have one; no evacuation applies to it",
                    "a data_centre for each backend server of the service, or for none",
                )


def _is_unusable(address: str) -> bool:
    parsed = ipaddress.IPv4Address(address)
    return parsed.is_unspecified or parsed.is_multicast or parsed == LIMITED_BROADCAST


def _seconds(millis: int) -> str:
    return f"{millis / MILLIS_PER_SECOND:g}"


RULES = (
    Rule("repeated_service", Severity.ERROR, find_repeated_services),
    Rule("shadowed_service", Severity.ERROR, find_shadowed_services),
    Rule("no_active_server", Severity.WARNING, find_services_without_active_servers),
    Rule("weight_without_shards", Severity.WARNING, find_weights_without_shards),
    Rule("shared_health_port", Severity.WARNING, find_shared_health_ports),
    Rule("different_health_port", Severity.WARNING, find_different_health_ports),
    Rule(
        "different_max_connections",
        Severity.WARNING,
        find_different_connection_limits,
    ),
    Rule("max_connections_below_weight", Severity.WARNING, find_limits_below_weight),
    Rule(
        "idle_limit_below_reset_delay",
        Severity.WARNING,
        find_idle_limits_below_reset_delay,
    ),
    Rule("idle_limit_below_reports", Severity.WARNING, find_idle_limits_below_reports),
    Rule("unusable_address", Severity.WARNING, find_unusable_addresses),
    Rule(
        "server_at_service_address",
        Severity.WARNING,
        find_servers_at_service_addresses,
    ),
    Rule("missing_data_centre", Severity.WARNING, find_missing_data_centres),
)
"""All rules, in the order in which they run."""
