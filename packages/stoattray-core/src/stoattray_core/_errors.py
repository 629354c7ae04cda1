"""Error kinds and the answer to each."""

from enum import StrEnum
from typing import NamedTuple


class PacketAnswer(StrEnum):
    """Answer to a packet that is not forwarded."""

    NONE = "none"
    RESET = "reset"


class ErrorKind(StrEnum):
    """Reason for refusing a packet, message or request; the list is closed."""

    PACKET_TRUNCATED = "packet_truncated"
    PACKET_OVERSIZED = "packet_oversized"
    PACKET_NOT_IPV4 = "packet_not_ipv4"
    PACKET_BAD_LENGTH = "packet_bad_length"
    PACKET_HAS_OPTIONS = "packet_has_options"
    PACKET_FRAGMENT = "packet_fragment"
    PACKET_BAD_PROTOCOL = "packet_bad_protocol"
    PACKET_NOT_FROM_CALLER = "packet_not_from_caller"
    UNKNOWN_COOKIE = "unknown_cookie"
    ENTRY_MALFORMED = "entry_malformed"
    HISTORY_GONE = "history_gone"
    UNKNOWN_ADDRESS = "unknown_address"
    NO_ROUTE = "no_route"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_DEAD = "backend_server_dead"
    FLOW_REUSED = "flow_reused"
    NO_OWNER = "no_owner"
    HOP_LIMIT = "hop_limit"
    NOT_READY = "not_ready"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    HELD_TOO_LONG = "held_too_long"
    MESSAGE_MALFORMED = "message_malformed"
    MESSAGE_BAD_VERSION = "message_bad_version"
    MESSAGE_NOT_AUTHENTIC = "message_not_authentic"
    MESSAGE_REPLAYED = "message_replayed"
    INVALID_ARGUMENT = "invalid_argument"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """How an error is reported on each interface.

    Parameters
    ----------
    http_status : int
        Status of the resource API.
    exit_status : int
        Exit status of the command line.
    packet : PacketAnswer
        Answer to the caller's packet.
    """

    http_status: int = 500
    exit_status: int = 1
    packet: PacketAnswer = PacketAnswer.NONE


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.PACKET_TRUNCATED: Answer(),
    ErrorKind.PACKET_OVERSIZED: Answer(),
    ErrorKind.PACKET_NOT_IPV4: Answer(),
    ErrorKind.PACKET_BAD_LENGTH: Answer(),
    ErrorKind.PACKET_HAS_OPTIONS: Answer(),
    ErrorKind.PACKET_FRAGMENT: Answer(),
    ErrorKind.PACKET_BAD_PROTOCOL: Answer(),
    ErrorKind.PACKET_NOT_FROM_CALLER: Answer(),
    ErrorKind.UNKNOWN_COOKIE: Answer(),
    ErrorKind.ENTRY_MALFORMED: Answer(),
    ErrorKind.HISTORY_GONE: Answer(410, 5),
    ErrorKind.UNKNOWN_ADDRESS: Answer(),
    ErrorKind.NO_ROUTE: Answer(404, 1, PacketAnswer.RESET),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, 1, PacketAnswer.RESET),
    ErrorKind.BACKEND_SERVER_DEAD: Answer(502, 1, PacketAnswer.RESET),
    ErrorKind.FLOW_REUSED: Answer(503, 1, PacketAnswer.RESET),
    ErrorKind.NO_OWNER: Answer(),
    ErrorKind.HOP_LIMIT: Answer(),
    ErrorKind.NOT_READY: Answer(503, 5),
    ErrorKind.QUEUE_FULL: Answer(503, 5),
    ErrorKind.OVERLOADED: Answer(503, 5, PacketAnswer.RESET),
    ErrorKind.HELD_TOO_LONG: Answer(503, 5),
    ErrorKind.MESSAGE_MALFORMED: Answer(400, 2),
    ErrorKind.MESSAGE_BAD_VERSION: Answer(400, 2),
    ErrorKind.MESSAGE_NOT_AUTHENTIC: Answer(401, 4),
    ErrorKind.MESSAGE_REPLAYED: Answer(401, 4),
    ErrorKind.INVALID_ARGUMENT: Answer(400, 2),
    ErrorKind.UNAUTHENTICATED: Answer(401, 4),
    ErrorKind.FORBIDDEN: Answer(403, 4),
    ErrorKind.NOT_FOUND: Answer(404, 3),
    ErrorKind.CONFLICT: Answer(409, 6),
    ErrorKind.TOO_LARGE: Answer(413, 2),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, 7),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, 5),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, 8),
    ErrorKind.INTERNAL: Answer(500, 1),
}


class StoattrayError(Exception):
    """An error of a known kind with a human-readable reason.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    reason : str
        One sentence that names the offending value and what was expected.
    """

    def __init__(self, kind: ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason

    @property
    def answer(self) -> Answer:
        """Return the answer to this kind of error."""
        return ANSWERS[self.kind]


class InvariantViolated(AssertionError):
    """An invariant of the decision core does not hold."""
