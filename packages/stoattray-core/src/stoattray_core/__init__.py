"""Decision logic of the stoattray load balancer, without sockets or clocks.

Public names are imported at first use, which keeps start-up short: a balancer
with cookie placement needs few of them.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from stoattray_core._errors import (
        ANSWERS,
        Answer,
        ErrorKind,
        InvariantViolated,
        PacketAnswer,
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
    from stoattray_core._settings import CoreSettings
    from stoattray_core._tables import MemberStatus
    from stoattray_core.core import Core

_MODULES = {
    "ANSWERS": "_errors",
    "Address": "_identifiers",
    "Answer": "_errors",
    "Core": "core",
    "CoreSettings": "_settings",
    "ErrorKind": "_errors",
    "FlowId": "_identifiers",
    "Identity": "_identity",
    "InvariantViolated": "_errors",
    "MemberId": "_identifiers",
    "MemberStatus": "_tables",
    "Millis": "_identifiers",
    "PacketAnswer": "_errors",
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
    "ANSWERS",
    "Address",
    "Answer",
    "Core",
    "CoreSettings",
    "ErrorKind",
    "FlowId",
    "Identity",
    "InvariantViolated",
    "MemberId",
    "MemberStatus",
    "Millis",
    "PacketAnswer",
    "Refused",
    "ServerId",
    "ServiceId",
    "StoattrayError",
    "server_address",
    "server_id",
    "server_name",
]
