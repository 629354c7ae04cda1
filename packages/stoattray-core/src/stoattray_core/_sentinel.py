"""Sentinel values that carry the reason for a missing result."""

from typing import NamedTuple

from stoattray_core._errors import ErrorKind


class Refused(NamedTuple):
    """Falsy value returned in place of a result.

    Parameters
    ----------
    kind : ErrorKind
        Reason for the refusal.
    detail : str
        Offending input, for the log; may be empty.
    """

    kind: ErrorKind
    detail: str = ""

    def __bool__(self) -> bool:
        return False


TRUNCATED = Refused(ErrorKind.PACKET_TRUNCATED)
OVERSIZED = Refused(ErrorKind.PACKET_OVERSIZED)
NOT_IPV4 = Refused(ErrorKind.PACKET_NOT_IPV4)
BAD_LENGTH = Refused(ErrorKind.PACKET_BAD_LENGTH)
HAS_OPTIONS = Refused(ErrorKind.PACKET_HAS_OPTIONS)
FRAGMENT = Refused(ErrorKind.PACKET_FRAGMENT)
BAD_PROTOCOL = Refused(ErrorKind.PACKET_BAD_PROTOCOL)
UNKNOWN_ADDRESS = Refused(ErrorKind.UNKNOWN_ADDRESS)
