"""Codec of the messages between balancers: Thrift in the compact protocol.

thriftpy2's compiled binary protocol is faster, but corrupted length fields made
it crash or run for minutes; the compact protocol rejects them.

Each data class in ``stoattray_core.messages`` maps to the struct of the same name
in ``peer.thrift``, with the same field names.
"""

import dataclasses
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol import TCompactProtocolFactory
from thriftpy2.utils import deserialize, serialize

from stoattray_balancer._packing import (
    pack_buckets,
    pack_claims,
    unpack_buckets,
    unpack_claims,
)
from stoattray_core import ErrorKind, Refused, messages
from stoattray_core.messages import BucketState, Message, ShardState

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 64_000

_IDL = thriftpy2.load(
    str(Path(__file__).with_name("peer.thrift")), module_name="peer_thrift"
)
_PROTOCOL = TCompactProtocolFactory()
_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")
_INTEGER_LIMIT = 1 << 63


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender and sequence number.

    Parameters
    ----------
    sender : str
        Member name of the sending balancer.
    incarnation : int
        Incarnation of the sender's process.
    sequence : int
        Increases with every message of the sending process.
    message : Message
        The payload.
    """

    sender: str
    incarnation: int
    sequence: int
    message: Message


def _field_name(class_name: str) -> str:
    return _WORD_START.sub("_", class_name).lower()


_BODY_CLASSES: dict[str, type] = {
    spec[1]: getattr(messages, spec[2].__name__)
    for spec in _IDL.Body.thrift_spec.values()
}


def encode(envelope: Envelope) -> bytes:
    """Return the serialized envelope."""
    message = envelope.message
    body = _IDL.Body()
    setattr(body, _field_name(type(message).__name__), _to_thrift(message))
    struct = _IDL.Envelope(
        version=PROTOCOL_VERSION,
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        sequence=envelope.sequence,
        body=body,
    )
    return serialize(struct, _PROTOCOL)


def decode(data: bytes) -> Envelope | Refused:
    """Return the envelope in `data`, or the reason why it is invalid."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Refused(ErrorKind.TOO_LARGE, f"{len(data)} bytes")
    try:
        struct = deserialize(_IDL.Envelope(), data, _PROTOCOL)
    except Exception as error:  # noqa: BLE001 - thriftpy2 raises many kinds
        return Refused(ErrorKind.MESSAGE_MALFORMED, type(error).__name__)
    if struct.version != PROTOCOL_VERSION:
        return Refused(ErrorKind.MESSAGE_BAD_VERSION, f"version {struct.version}")
    try:
        return _read_envelope(struct)
    except (TypeError, ValueError, AttributeError) as error:
        return Refused(ErrorKind.MESSAGE_MALFORMED, str(error))


def message_size(message: Message) -> int:
    """Return the encoded size of a message before encryption, in bytes."""
    return len(encode(Envelope("member-000", 1, 1, message)))


def _read_envelope(struct: Any) -> Envelope:
    for name, cls in _BODY_CLASSES.items():
        body = getattr(struct.body, name)
        if body is not None:
            return Envelope(
                sender=_check_scalar("sender", struct.sender, str),
                incarnation=_check_scalar("incarnation", struct.incarnation, int),
                sequence=_check_scalar("sequence", struct.sequence, int),
                message=_from_thrift(body, cls),
            )
    raise ValueError("the envelope has no message")


def _to_thrift(value: Any) -> Any:
    if isinstance(value, list):
        return _list_to_thrift(value)
    if not dataclasses.is_dataclass(value):
        return value
    struct = getattr(_IDL, type(value).__name__)()
    for field in dataclasses.fields(value):
        setattr(struct, field.name, _to_thrift(getattr(value, field.name)))
    return struct


def _list_to_thrift(items: list[Any]) -> list[Any]:
    if items and isinstance(items[0], BucketState):
        return [
            _IDL.BucketGroup(
                service_name=service, base=base, tracked=tracked, buckets=packed
            )
            for (service, base, tracked), packed in pack_buckets(items)
        ]
    if items and isinstance(items[0], ShardState):
        return [
            _IDL.ClaimGroup(owner=owner, claims=packed)
            for owner, packed in pack_claims(items)
        ]
    return [_to_thrift(item) for item in items]


def _list_from_thrift(name: str, items: list[Any], expected: type) -> list[Any]:
    if expected is BucketState:
        return [bucket for item in items for bucket in _read_bucket_group(item)]
    if expected is ShardState:
        return [claim for item in items for claim in _read_claim_group(item)]
    return [_read_item(name, item, expected) for item in items]


def _read_bucket_group(group: Any) -> Iterator[BucketState]:
    key = (
        _check_scalar("service_name", group.service_name, str),
        _check_scalar("base", group.base, str),
        _check_scalar("tracked", group.tracked, bool),
    )
    return unpack_buckets(key, _read_item("buckets", group.buckets, bytes))


def _read_claim_group(group: Any) -> Iterator[ShardState]:
    owner = _check_scalar("owner", group.owner, str)
    return unpack_claims(owner, _read_item("claims", group.claims, bytes))


def _from_thrift(struct: Any, cls: type) -> Any:
    values: dict[str, Any] = {}
    for field in dataclasses.fields(cls):
        value = getattr(struct, field.name)
        values[field.name] = _read_field(
            field.name, value, _FIELD_TYPES[cls][field.name]
        )
    return cls(**values)


def _read_field(name: str, value: Any, expected: "_FieldType") -> Any:
    if expected.is_list:
        if not isinstance(value, list):
            raise ValueError(f"{name}: expected a list")
        return _list_from_thrift(name, value, expected.item_type)
    return _read_item(name, value, expected.item_type)


def _read_item(name: str, value: Any, expected: type) -> Any:
    if dataclasses.is_dataclass(expected):
        if value is None:
            raise ValueError(f"{name}: missing")
        return _from_thrift(value, expected)
    if expected is bytes and isinstance(value, str):
        return value.encode("utf-8", "surrogateescape")
    return _check_scalar(name, value, expected)


def _check_scalar(name: str, value: Any, expected: type) -> Any:
    if not isinstance(value, expected):
        raise ValueError(f"{name}: expected {expected.__name__}")
    if expected is int and not 0 <= value < _INTEGER_LIMIT:
        raise ValueError(f"{name}: out of range")
    return value


@dataclass(frozen=True, slots=True)
class _FieldType:
    item_type: type
    is_list: bool


def _field_type(annotation: Any) -> _FieldType:
    arguments = getattr(annotation, "__args__", None)
    if arguments:
        return _FieldType(arguments[0], is_list=True)
    return _FieldType(annotation, is_list=False)


_FIELD_TYPES: dict[type, dict[str, _FieldType]] = {
    cls: {field.name: _field_type(field.type) for field in dataclasses.fields(cls)}
    for cls in vars(messages).values()
    if dataclasses.is_dataclass(cls)
}
