"""Decision logic of the stoattray load balancer, without sockets or clocks.

Public names are imported at first use, which keeps start-up short: a balancer
with cookie placement needs few of them.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from stoattray_core._core_settings import CoreSettings
    from stoattray_core._errors import (
        ERROR_RESPONSES,
        ErrorKind,
        ErrorResponse,
        InvariantViolated,
        PacketResponse,
        StoattrayError,
    )
    from stoattray_core._identifiers import (
        Address,
        FlowId,
        MemberId,
        Millis,
        ServerId,
        ServiceId,
        server_address,
        server_id,
        server_name,
    )
    from stoattray_core._identity import Identity
    from stoattray_core._sentinel import Refused
    from stoattray_core._tables import MemberStatus
    from stoattray_core.core import Core

_MODULES = {
    "Address": "_identifiers",
    "Core": "core",
    "CoreSettings": "_core_settings",
    "ERROR_RESPONSES": "_errors",
    "ErrorKind": "_errors",
    "ErrorResponse": "_errors",
    "FlowId": "_identifiers",
    "Identity": "_identity",
    "InvariantViolated": "_errors",
    "MemberId": "_identifiers",
    "MemberStatus": "_tables",
    "Millis": "_identifiers",
    "PacketResponse": "_errors",
    "Refused": "_sentinel",
    "ServerId": "_identifiers",
    "ServiceId": "_identifiers",
    "StoattrayError": "_errors",
    "server_address": "_identifiers",
    "server_id": "_identifiers",
    "server_name": "_identifiers",
}


def __getattr__(name: str) -> Any:
    """Import a public name at its first use."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value


__all__ = [
    "Address",
    "Core",
    "CoreSettings",
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "FlowId",
    "Identity",
    "InvariantViolated",
    "MemberId",
    "MemberStatus",
    "Millis",
    "PacketResponse",
    "Refused",
    "ServerId",
    "ServiceId",
    "StoattrayError",
    "server_address",
    "server_id",
    "server_name",
]
