"""Builds services for tests and benchmarks."""

from collections.abc import Sequence

from stoattray_core.resources import ServiceModel

SERVER_PORT = 9000


def build_service(
    organisation: str,
    name: str,
    *,
    address: str,
    n_servers: int,
    policy: str = "continuity",
    idle_limit_seconds: float = 300.0,
    host_prefix: str = "127.0.0.",
    first_host: int = 1,
    port: int = 443,
    protocol: str = "tcp",
    health_port: int | None = SERVER_PORT,
    draining: frozenset[str] = frozenset(),
    removed: frozenset[str] = frozenset(),
    data_centres: Sequence[str] = (),
) -> ServiceModel:
    """Return a service with backend servers ``name-1`` to ``name-n_servers``.

    The servers are in `data_centres` in turn, or in none if it is empty.
    """
    servers = []
    for number in range(1, n_servers + 1):
        server = f"{name}-{number}"
        if server in removed:
            continue
        servers.append(
            {
                "name": server,
                "address": f"{host_prefix}{first_host + number - 1}",
                "port": SERVER_PORT,
                "health_port": health_port,
                "state": "draining" if server in draining else "active",
                "data_centre": (
                    data_centres[(number - 1) % len(data_centres)]
                    if data_centres
                    else None
                ),
            }
        )
    return ServiceModel.model_validate(
        {
            "organisation": organisation,
            "name": name,
            "spec": {
                "address": address,
                "port": port,
                "protocol": protocol,
                "policy": policy,
                "idle_limit_seconds": idle_limit_seconds,
                "backend_servers": servers,
            },
        }
    )
