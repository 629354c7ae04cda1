"""Builders of declarations for the tests of ``stoattrayctl check``."""

import json
from typing import Any

from stoattray_operator._check import CheckResult, check_text


def server(name: str = "s1", host: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a valid backend server."""
    return {"name": name, "address": f"10.0.0.{host}", "port": 9000, **changes}


def service(
    *servers: dict[str, Any], name: str = "web", host: int = 10, **changes: Any
) -> dict[str, Any]:
    """Return a valid service of the organisation ``acme``."""
    spec = {
        "address": f"192.0.2.{host}",
        "port": 443,
        "backend_servers": list(servers) or [server()],
        **changes,
    }
    return {"organisation": "acme", "name": name, "spec": spec}


def check(*documents: Any) -> CheckResult:
    """Check documents that are written with one value per line."""
    return check_text(json.dumps(list(documents), indent=1))


def found(*documents: Any) -> list[tuple[str, str]]:
    """Return rule and path of each finding on documents."""
    return [(item.rule, item.path) for item in check(*documents).findings]
