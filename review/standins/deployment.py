"""A small deployment: store, balancers, hosts, routers and clients of one case."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from standins.clients import Client, Routers
from standins.fleet import Balancer, Folder, Network, free_network
from standins.hosts import Host
from standins.record import Record
from standins.store import Store

ROUTE_HOST = "127.198.0.1"
READY_SECONDS = 15.0
STABLE_SECONDS = 4.0
FIRST_CLIENT = 200
FIRST_HOST = 100
FIRST_BALANCER = 10


class CouldNotRun(Exception):
    """The case could not be played."""


class Deployment:
    """Stand-ins and processes; addresses are of one block of loopback."""

    def __init__(self, folder: Path, record: Record, network: Network) -> None:
        self.record = record
        self.network = network
        self.store = Store()
        self.balancers: list[Balancer] = []
        self.hosts: list[Host] = []
        self.clients: list[Client] = []
        self.routers = Routers([], record)
        self._folder = folder
        self._version = 0

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        idle_timeout_ms: int = 15_000,
    ) -> int:
        """Write the next version of the configuration; return its version."""
        self._version += 3
        limits = {
            "header_bytes": 16_384,
            "body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": idle_timeout_ms,
        }
        body = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        revision = self.store.put_json("op/config", body)
        self.record(f"store accepts configuration {self._version} as {revision}")
        return self._version

    def add_balancers(self, zones: list[str], **extra: Any) -> None:
        """Add one balancer for each name of a zone."""
        hosts = [self.network.address(FIRST_BALANCER + n) for n in range(len(zones))]
        for number, (zone, host) in enumerate(zip(zones, hosts, strict=True)):
            name = f"edge-{zone}-{number + 1}"
            self.balancers.append(
                Balancer(name, zone, host, self.network, self._folder, hosts[:3], extra)
            )
        self.routers = Routers(self.balancers, self.record)

    async def add_host(self, service: str, zone: str) -> Host:
        """Start a host."""
        number = len(self.hosts)
        host_ip = self.network.address(FIRST_HOST + number)
        address = (host_ip, self.network.ports.hosts)
        name = f"i-{0x7F3A9100 + number:08x}"
        host = Host(name, service, zone, address, self.store, self.record)
        host.client_port = self.network.ports.datagrams
        self.hosts.append(host)
        await host.start()
        return host

    async def add_client(self) -> Client:
        """Start a client address."""
        number = FIRST_CLIENT + len(self.clients)
        ports = self.network.ports
        address = self.network.address(number)
        client = Client(address, ports.datagrams, self.routers, self.record)
        self.clients.append(client)
        await client.start()
        return client

    async def start(self) -> None:
        """Start the store and all balancers, and wait until they are in rotation."""
        for balancer in self.balancers:
            await balancer.start()
        self.routers.start()
        until = self.record.elapsed + READY_SECONDS
        while not all(map(self.routers.is_in_rotation, self.balancers)):
            if self.record.elapsed > until:
                lines = [line for b in self.balancers for line in b.log_lines[-5:]]
                raise CouldNotRun("balancers don't become ready: " + " | ".join(lines))
            await asyncio.sleep(0.1)
        self.record("all balancers are in rotation")

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        self.routers.stop()
        await asyncio.gather(*(balancer.kill() for balancer in self.balancers))
        for host in self.hosts:
            host.stop()
        for client in self.clients:
            client.stop()
        await self.store.stop()


def route(port: int, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{port}",
        "host": ROUTE_HOST,
        "prefix": f"/{port}/",
        "type": kind,
        "timeout_ms": 3_000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of the configuration."""
    return {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 2_000,
        "protocol": "h1",
        "tls": False,
        **fields,
    }


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


@asynccontextmanager
async def deployment(record: Record) -> AsyncIterator[Deployment]:
    """Run a deployment whose store is started; end all of it afterwards."""
    folder = Folder()
    world = Deployment(folder.path, record, free_network())
    ports = world.network.ports
    await world.store.start((world.network.address(1), ports.store))
    try:
        yield world
    finally:
        await world.stop()
        if os.environ.get("KEEP_LOGS"):
            record(f"logs are kept in {folder.path}")
        else:
            folder.remove()
