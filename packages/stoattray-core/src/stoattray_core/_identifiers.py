"""Identifiers and units shared by all modules."""

from typing import NewType

MemberId = NewType("MemberId", str)
"""Name of one balancer VM, unique within the system."""

ServiceId = NewType("ServiceId", str)
"""Full name of a service: ``organisation/service``."""

ServerId = NewType("ServerId", str)
"""A backend server with its data address: ``name@host:port``."""

FlowId = NewType("FlowId", bytes)
"""Caller address (4 bytes) and caller port (2 bytes), unique within a service."""

Millis = int
"""A point in time or a duration in milliseconds of a monotonic clock."""

Address = tuple[str, int]
"""Host and port, as the socket module expects them."""

FIRST_MULTICAST_BYTE = 224
"""First byte from which on IPv4 addresses are not those of one host."""

MAX_BYTE = 255
FLOW_ID_BYTES = 6
N_SHARDS = 251
"""Number of partitions of the flow space; the Maglev table requires a prime."""


def server_id(name: str, host: str, port: int) -> ServerId:
    """Return the id of the backend server `name` at ``host:port``."""
    return ServerId(f"{name}@{host}:{port}")


def server_name(server: ServerId) -> str:
    """Return the name in a backend server id."""
    return server.partition("@")[0]


def server_address(server: ServerId) -> Address:
    """Return the data address in a backend server id."""
    host, _, port = server.rpartition("@")[2].rpartition(":")
    return host, int(port)


def is_host_address(text: str) -> bool:
    """Return whether a text is the IPv4 address of one host, in dotted notation."""
    parts = text.split(".")
    if len(parts) != 4 or not text.isascii():
        return False
    if not all(part.isdigit() and len(part) <= 3 for part in parts):
        return False
    numbers = [int(part) for part in parts]
    return 0 < numbers[0] < FIRST_MULTICAST_BYTE and max(numbers) <= MAX_BYTE
