"""Builders of the platform's packets and records."""

import json
import socket
import struct
from typing import Any

from stoattray_core.steering.replica import Record

SYN = 8
ACK = 32
FIN = 128
RST = 2

CALLER = "100.64.0.7"
SERVICE = "198.18.0.1"


def build_packet(
    flags: int = SYN,
    *,
    echo: int = 0,
    acknowledgement: int = 0,
    data: bytes = b"",
    n_data: int | None = None,
) -> bytes:
    """Return a packet from the caller's port 40001 to the service's port 443."""
    head = struct.pack(
        ">HIBB4s4sHHIII",
        len(data) if n_data is None else n_data,
        echo,
        flags,
        0,
        socket.inet_aton(CALLER),
        socket.inet_aton(SERVICE),
        443,
        40_001,
        0xA1B2C3D5,
        0x11223344,
        acknowledgement,
    )
    return head + data


def build_server_body(**changes: Any) -> dict[str, Any]:
    """Return the body of a valid record of a backend server."""
    return {
        "service": "huvo11a",
        "address": "10.128.0.9:8080",
        "zone": "luzon-a",
        "version": "v1",
        "capacity": 2,
        "state": "ready",
        "warmup_remaining_ms": 0,
        "sequence": 4,
        "born": 1_770_000_000_000,
        **changes,
    }


def build_server_record(name: str = "i-7f3a91c2", **changes: Any) -> Record:
    """Return a valid record of a backend server."""
    return Record(
        f"servers/{name}", 5, json.dumps(build_server_body(**changes)).encode()
    )


def build_configuration_body(**changes: Any) -> dict[str, Any]:
    """Return the body of a configuration with a weighted and a plain route."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": SERVICE,
                "prefix": "/443/",
                "type": "idempotent",
                "timeout_ms": 800,
                "target_latency_ms": 120,
                "priority": 2,
                "backends": [
                    {"service": "huvo11a", "weight": 90},
                    {"service": "wuno96b", "weight": 10},
                ],
                "max_attempts": 2,
            },
            {
                "name": "r-2",
                "host": SERVICE,
                "prefix": "/8080/",
                "type": "non_idempotent",
                "timeout_ms": 1_000,
                "priority": 1,
                "service": "huvo11a",
            },
        ],
        "services": [
            {"name": "huvo11a", "health_check_path": "/health"},
            {"name": "wuno96b", "health_check_path": "/health"},
        ],
        "limits": {"idle_timeout_ms": 15_000},
        **changes,
    }


def build_configuration_record(**changes: Any) -> Record:
    """Return a record with a configuration."""
    return Record(
        "op/config", 6, json.dumps(build_configuration_body(**changes)).encode()
    )
