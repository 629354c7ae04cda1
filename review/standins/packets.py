"""Packets as the platform's pages describe them: a header of 32 bytes, then data."""

import socket
import struct
import zlib
from typing import NamedTuple

SYN = 8
ACK = 32
FIN = 128
RST = 2
HEADER = struct.Struct(">HIBB4s4sHHIII")
LABEL_BYTES = 8
SUM_KEY = b"review"


class Packet(NamedTuple):
    """One packet; addresses are 4 bytes, `sum` is None until it is encoded."""

    flags: int
    src: bytes
    sport: int
    dst: bytes
    dport: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    sum: int | None = None

    @property
    def flow(self) -> tuple[bytes, int, bytes, int]:
        """Return the flow's addresses and ports, as its client's packets have them."""
        return self.src, self.sport, self.dst, self.dport

    @property
    def reverse_flow(self) -> tuple[bytes, int, bytes, int]:
        """Return the same for a packet that goes to the client."""
        return self.dst, self.dport, self.src, self.sport

    @property
    def is_intact(self) -> bool:
        """Return whether the keyed sum is right; a balancer can't write it."""
        return self.sum == _keyed_sum(self)


def encode(packet: Packet) -> bytes:
    """Return a packet with its keyed sum as bytes."""
    head = HEADER.pack(
        len(packet.data),
        packet.echo,
        packet.flags,
        0,
        packet.src,
        packet.dst,
        packet.dport,
        packet.sport,
        _keyed_sum(packet),
        packet.seq,
        packet.ack,
    )
    return head + packet.data


def decode(data: bytes) -> Packet:
    """Return the packet in a datagram."""
    n_data, echo, flags, _, src, dst, dport, sport, total, seq, ack = (
        HEADER.unpack_from(data)
    )
    rest = data[HEADER.size : HEADER.size + n_data]
    return Packet(flags, src, sport, dst, dport, seq, ack, echo, rest, total)


def flow_name(flow: tuple[bytes, int, bytes, int]) -> str:
    """Return a flow's ends as text."""
    src, sport, dst, dport = flow
    return f"{socket.inet_ntoa(src)}:{sport}>{socket.inet_ntoa(dst)}:{dport}"


def _keyed_sum(packet: Packet) -> int:
    fields = packet._replace(echo=0, sum=None)
    return zlib.crc32(SUM_KEY + repr(tuple(fields)).encode()) or 1
