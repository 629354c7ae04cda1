"""Packets of the stand-ins: heads as the platform writes them, with a keyed sum."""

import struct
import zlib
from typing import NamedTuple

SYN = 8
ACK = 32
FIN = 128
RST = 2
HEAD = struct.Struct(">HIBB4s4sHHIII")
LABEL_BYTES = 8
SUM_KEY = b"soak"


class Head(NamedTuple):
    """Fields of a packet's head; `sent_to` and `sent_from` are address and port."""

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
    def flow(self) -> bytes:
        """Return the key of a caller's flow."""
        ports = struct.pack(">HH", self.destination_port, self.source_port)
        return self.source + self.destination + ports

    @property
    def answer_flow(self) -> bytes:
        """Return the key of the flow that a server's packet belongs to."""
        ports = struct.pack(">HH", self.source_port, self.destination_port)
        return self.destination + self.source + ports

    @property
    def is_genuine(self) -> bool:
        """Return whether the sum is that of the sender."""
        return self.checksum == _checksum(self._replace(echo=0))


def read(packet: bytes) -> Head:
    """Return the head and data of a packet."""
    fields = HEAD.unpack_from(packet)
    _, echo, flags, _, source, destination, to_port, from_port, *rest = fields
    return Head(
        echo, flags, source, destination, to_port, from_port, *rest, packet[HEAD.size :]
    )


def write(head: Head) -> bytes:
    """Return a packet with its sum."""
    return (
        HEAD.pack(
            len(head.data),
            head.echo,
            head.flags,
            0,
            head.source,
            head.destination,
            head.destination_port,
            head.source_port,
            _checksum(head._replace(echo=0)),
            head.sequence,
            head.acknowledgement,
        )
        + head.data
    )


def _checksum(head: Head) -> int:
    parts = head._replace(checksum=0, echo=0)
    return zlib.crc32(SUM_KEY + repr(tuple(parts)).encode())
