"""Packets as the users' pages describe them, with a keyed sum of our own."""

import struct
import zlib
from typing import NamedTuple

RST = 2
SYN = 8
ACK = 32
FIN = 128
HEAD = struct.Struct(">HIBB4s4sHHIII")
LABEL_BYTES = 8
KEY = b"review-2"


class Packet(NamedTuple):
    """Fields of one packet; `source` and `target` are (address, port)."""

    flags: int
    source: tuple[bytes, int]
    target: tuple[bytes, int]
    sequence: int
    acknowledgement: int
    echo: int = 0
    data: bytes = b""
    is_signed: bool = True

    @property
    def flow(self) -> tuple[bytes, int, bytes, int]:
        """Return the flow's key for a packet that a caller sent."""
        return (*self.source, *self.target)

    @property
    def reverse_flow(self) -> tuple[bytes, int, bytes, int]:
        """Return the flow's key for a packet that a host sent."""
        return (*self.target, *self.source)


def _sum(packet: Packet) -> int:
    body = repr((packet.flags, packet.source, packet.target, packet.sequence))
    rest = repr((packet.acknowledgement, packet.data))
    return zlib.crc32(KEY + body.encode() + rest.encode()) or 1


def encode(packet: Packet) -> bytes:
    """Return a packet's bytes with its sum."""
    head = HEAD.pack(
        len(packet.data),
        packet.echo,
        packet.flags,
        0,
        packet.source[0],
        packet.target[0],
        packet.target[1],
        packet.source[1],
        _sum(packet),
        packet.sequence,
        packet.acknowledgement,
    )
    return head + packet.data


def decode(data: bytes) -> Packet:
    """Return the packet of these bytes; `is_signed` tells whether its sum holds."""
    _, echo, flags, _, source, target, to_port, from_port, total, seq, ack = (
        HEAD.unpack_from(data)
    )
    packet = Packet(
        flags,
        (source, from_port),
        (target, to_port),
        seq,
        ack,
        echo,
        data[HEAD.size :],
    )
    return packet._replace(is_signed=total == _sum(packet))


def label_of(name: str) -> bytes:
    """Return the 8 bytes that name a host: the hex digits of its id."""
    return struct.pack(">Q", int(name.removeprefix("i-"), 16))
