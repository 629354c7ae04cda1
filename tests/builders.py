"""Builders of services, networks, packets and settings for tests."""

import base64
from typing import Any

from stoattray_core.resources import ServiceModel
from stoattray_standin.packets import SYN, Endpoint, tcp_packet
from stoattray_standin.services import build_service
from stoattray_standin.simulated_network import SimulatedNetwork

CALLER = Endpoint("203.0.113.9", 40_000)
LOOKUP = Endpoint("192.0.2.10", 443)
BALANCERS = ("b1", "b2", "b3", "b4", "b5")


def lookup(**changes: Any) -> ServiceModel:
    """Return Tanglaw's lookup service with a short idle limit."""
    values = {
        "address": LOOKUP.address,
        "n_servers": 7,
        "idle_limit_seconds": 4.0,
        **changes,
    }
    return build_service("tanglaw", "lookup", **values)


def aula_core(**changes: Any) -> ServiceModel:
    """Return Ferreyra's aula-core service, which has the balance policy."""
    values = {
        "address": "192.0.2.20",
        "n_servers": 7,
        "idle_limit_seconds": 4.0,
        "policy": "balance",
        "first_host": 101,
        **changes,
    }
    return build_service("ferreyra", "aula-core", **values)


def build_network(
    seed: int, *services: ServiceModel, balancers: tuple[str, ...] = BALANCERS
) -> SimulatedNetwork:
    """Return a network with live balancers that have applied `services`."""
    network = SimulatedNetwork(seed)
    for name in balancers:
        network.start_balancer(name)
    for service in services:
        network.declare_service(service)
    network.run(4_000)
    return network


def open_flows(
    network: SimulatedNetwork,
    service: ServiceModel,
    duration_millis: int,
    interval_millis: int = 20,
) -> None:
    """Open flows at an interval for some time; one in four is long."""
    end = network.now + duration_millis
    while network.now < end:
        n_packets = network.random.choice((3, 3, 8, 60))
        network.open_flow(service, n_packets=n_packets, interval_millis=60)
        network.run(interval_millis)


def opening_packet(source: Endpoint = CALLER, destination: Endpoint = LOOKUP) -> bytes:
    """Return a TCP packet that opens a flow."""
    return tcp_packet(source, destination, flags=SYN)


def key_file_text(*ids: int) -> str:
    """Return a keys file with one key per id."""
    parts = [f'{{"id": {number}, "secret": "{secret(number)}"}}' for number in ids]
    return "[" + ", ".join(parts) + "]"


def secret(number: int) -> str:
    """Return a 32-byte secret that depends on a number."""
    return base64.b64encode(bytes([number]) * 32).decode()


def settings(**changes: Any) -> dict[str, Any]:
    """Return valid settings of a balancer."""
    return {
        "member": "b1",
        "data_centre": "ph-luzon-1",
        "host": "127.0.0.1",
        "fabric_port": 7001,
        "relay_port": 7002,
        "peer_port": 7003,
        "fabric_return": "127.0.0.1:7004",
        "keys_file": "keys.json",
        "api": {"port": 7005, "plain_http": True},
        **changes,
    }
