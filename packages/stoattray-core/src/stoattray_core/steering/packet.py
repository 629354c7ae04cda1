"""Fields of a caller's packet that routing needs."""

from typing import NamedTuple


class Packet(NamedTuple):
    """One packet of a caller.

    Parameters
    ----------
    key : bytes
        Caller's and service's address and port.
    destination : bytes
        Service's address (4 bytes) and port (2 bytes).
    cookie : int
        Identifies the flow's server; 0 in opening packets.
    is_opening, is_ending : bool
        Whether the caller opens the flow, or ends its side of it.
    n_retransmissions : int
        Number of earlier transmissions of this opening packet.
    sequence, acknowledgement : int
        Numbers of the caller's first byte in it, and of the next byte that the caller
        expects; the latter has no meaning in opening packets.
    has_data : bool
        Whether it has a payload.
    data : bytes
        The packet as received.
    """

    key: bytes
    destination: bytes
    cookie: int
    is_opening: bool
    is_ending: bool
    n_retransmissions: int
    sequence: int
    acknowledgement: int
    has_data: bool
    data: bytes


def flow_name(key: bytes) -> str:
    """Return a readable flow id: caller, then service, as address and port."""
    caller = ".".join(str(part) for part in key[:4])
    service = ".".join(str(part) for part in key[4:8])
    caller_port = int.from_bytes(key[10:12])
    service_port = int.from_bytes(key[8:10])
    return f"{caller}:{caller_port}>{service}:{service_port}"
