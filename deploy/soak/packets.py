"""Packets of the simulation: the platform's header format, with a keyed checksum."""

import struct
import zlib
from typing import NamedTuple

SYN = 8
ACK = 32
FIN = 128
RST = 2
HEADER = struct.Struct(">HIBB4s4sHHIII")
LABEL_BYTES = 8
"""Length of the backend server label that a balancer prepends to a packet."""

CHECKSUM_KEY = b"soak"


class Packet(NamedTuple):
    """Header fields and data of a packet; `echo` carries the cookie."""

    echo: int
    flags: int
    source: bytes
    destination: bytes
    destination_port: int
    source_port: int
    checksum: int
    sequence: int
    acknowledgement: int
    data: bytes

    @property
    def flow_key(self) -> bytes:
        """Return the flow key of a caller's packet."""
        ports = struct.pack(">HH", self.destination_port, self.source_port)
        return self.source + self.destination + ports

    @property
    def response_flow_key(self) -> bytes:
        """Return the flow key of a backend server's packet."""
        ports = struct.pack(">HH", self.source_port, self.destination_port)
        return self.destination + self.source + ports

    @property
    def has_valid_checksum(self) -> bool:
        """Return whether the checksum matches; it does not cover the cookie."""
        return self.checksum == _checksum(self._replace(echo=0))


def decode(datagram: bytes) -> Packet:
    """Decode a packet from its wire format."""
    fields = HEADER.unpack_from(datagram)
    _, echo, flags, _, source, destination, to_port, from_port, *rest = fields
    return Packet(
        echo,
        flags,
        source,
        destination,
        to_port,
        from_port,
        *rest,
        datagram[HEADER.size :],
    )


def encode(packet: Packet) -> bytes:
    """Encode a packet in its wire format, with its checksum."""
    return (
        HEADER.pack(
            len(packet.data),
            packet.echo,
            packet.flags,
            0,
            packet.source,
            packet.destination,
            packet.destination_port,
            packet.source_port,
            _checksum(packet._replace(echo=0)),
            packet.sequence,
            packet.acknowledgement,
        )
        + packet.data
    )


def _checksum(packet: Packet) -> int:
    without_checksum = packet._replace(checksum=0, echo=0)
    return zlib.crc32(CHECKSUM_KEY + repr(tuple(without_checksum)).encode())
