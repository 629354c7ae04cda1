"""Parsing and validation of IPv4, TCP and UDP headers.

The offsets are those of RFC 791 (IPv4), RFC 9293 (TCP) and RFC 768 (UDP).
"""

import struct
from dataclasses import dataclass

from stoattray_core._identifiers import FlowId
from stoattray_core._sentinel import (
    BAD_LENGTH,
    BAD_PROTOCOL,
    FRAGMENT,
    HAS_OPTIONS,
    NOT_IPV4,
    OVERSIZED,
    TRUNCATED,
    Refused,
)

TCP = 6
UDP = 17

MAX_PACKET_BYTES = 9_216
MIN_PACKET_BYTES = 28  # IPv4 and UDP headers
IPV4_HEADER_BYTES = 20
TCP_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8
IPV4_VERSION_AND_IHL = 0x45
FRAGMENT_MASK = 0x3FFF  # more-fragments flag and fragment offset

FLAG_FIN = 0x01
FLAG_SYN = 0x02
FLAG_RST = 0x04
FLAG_ACK = 0x10

HEADER_FIELDS = struct.Struct("!BxHxxHxBxxIIHH")
"""Version and header length, total length, flags and fragment offset, protocol,
source, destination, source port, destination port."""

_UDP_LENGTH = struct.Struct("!H")


@dataclass(frozen=True, slots=True)
class Packet:
    """Header fields of one packet that the slow path uses.

    Parameters
    ----------
    data : bytes
        The whole IPv4 packet.
    service_key : int
        Destination address, port and protocol, see :func:`service_key`.
    flow : FlowId
        Caller address and port.
    is_opening : bool
        Whether this packet opens a flow (TCP SYN without ACK).
    is_ending : bool
        Whether the caller closes or resets the flow (TCP FIN or RST).
    has_payload : bool
        Whether the packet has a payload.
    """

    data: bytes
    service_key: int
    flow: FlowId
    is_opening: bool
    is_ending: bool
    has_payload: bool


def service_key(destination: int, port: int, protocol: int) -> int:
    """Return the key of an address: 32 bits address, 16 bits port, 8 bits protocol."""
    return (destination << 24) | (port << 8) | protocol


def check_header(data: bytes) -> Refused | None:
    """Return why `data` can't be forwarded, or None for a valid packet."""
    size = len(data)
    if size < MIN_PACKET_BYTES:
        return TRUNCATED
    if size > MAX_PACKET_BYTES:
        return OVERSIZED
    version, length, fragment, protocol, *_ = HEADER_FIELDS.unpack_from(data)
    if version >> 4 != 4:
        return NOT_IPV4
    if version != IPV4_VERSION_AND_IHL:
        return HAS_OPTIONS if version > IPV4_VERSION_AND_IHL else BAD_LENGTH
    if length != size:
        return TRUNCATED if length > size else BAD_LENGTH
    if fragment & FRAGMENT_MASK:
        return FRAGMENT
    if protocol == TCP:
        return _check_tcp(data)
    if protocol == UDP:
        return _check_udp(data)
    return BAD_PROTOCOL


def _check_tcp(data: bytes) -> Refused | None:
    if len(data) < IPV4_HEADER_BYTES + TCP_HEADER_BYTES:
        return TRUNCATED
    header_bytes = (data[32] >> 4) * 4
    if header_bytes < TCP_HEADER_BYTES:
        return BAD_LENGTH
    if IPV4_HEADER_BYTES + header_bytes > len(data):
        return BAD_LENGTH
    return None


def _check_udp(data: bytes) -> Refused | None:
    (length,) = _UDP_LENGTH.unpack_from(data, 24)
    return None if length == len(data) - IPV4_HEADER_BYTES else BAD_LENGTH


def read_packet(data: bytes) -> Packet | Refused:
    """Return the header fields of `data`, or why it is refused."""
    refused = check_header(data)
    if refused is not None:
        return refused
    _, _, _, protocol, _, destination, _, port = HEADER_FIELDS.unpack_from(data)
    if protocol == TCP:
        flags = data[33]
        is_opening = flags & (FLAG_SYN | FLAG_ACK) == FLAG_SYN
        is_ending = bool(flags & (FLAG_FIN | FLAG_RST))
        has_payload = len(data) > IPV4_HEADER_BYTES + (data[32] >> 4) * 4
    else:
        is_opening = is_ending = False
        has_payload = len(data) > IPV4_HEADER_BYTES + UDP_HEADER_BYTES
    return Packet(
        data=data,
        service_key=service_key(destination, port, protocol),
        flow=FlowId(data[12:16] + data[20:22]),
        is_opening=is_opening,
        is_ending=is_ending,
        has_payload=has_payload,
    )
