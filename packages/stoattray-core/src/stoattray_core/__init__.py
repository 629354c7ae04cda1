"""Decisions of the stoattray load balancer, without sockets or clocks."""

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
