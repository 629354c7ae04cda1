"""Error kinds and the response to each."""

from enum import StrEnum
from typing import NamedTuple


class PacketResponse(StrEnum):
    """Response to a packet that is not forwarded."""

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
    DEFERRED = "deferred"
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


class ErrorResponse(NamedTuple):
    """How an error is reported on each interface.

    Parameters
    ----------
    http_status : int
        Status of the resource API.
    exit_status : int
        Exit status of the command line.
    packet : PacketResponse
        Response to the caller's packet.
    """

    http_status: int = 500
    exit_status: int = 1
    packet: PacketResponse = PacketResponse.NONE


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.PACKET_TRUNCATED: ErrorResponse(),
    ErrorKind.PACKET_OVERSIZED: ErrorResponse(),
    ErrorKind.PACKET_NOT_IPV4: ErrorResponse(),
    ErrorKind.PACKET_BAD_LENGTH: ErrorResponse(),
    ErrorKind.PACKET_HAS_OPTIONS: ErrorResponse(),
    ErrorKind.PACKET_FRAGMENT: ErrorResponse(),
    ErrorKind.PACKET_BAD_PROTOCOL: ErrorResponse(),
    ErrorKind.PACKET_NOT_FROM_CALLER: ErrorResponse(),
    ErrorKind.UNKNOWN_COOKIE: ErrorResponse(),
    ErrorKind.ENTRY_MALFORMED: ErrorResponse(),
    ErrorKind.HISTORY_GONE: ErrorResponse(410, 5),
    ErrorKind.UNKNOWN_ADDRESS: ErrorResponse(),
    ErrorKind.NO_ROUTE: ErrorResponse(404, 1, PacketResponse.RESET),
    ErrorKind.NO_BACKEND_SERVER: ErrorResponse(503, 1, PacketResponse.RESET),
    ErrorKind.BACKEND_SERVER_DEAD: ErrorResponse(502, 1, PacketResponse.RESET),
    ErrorKind.FLOW_REUSED: ErrorResponse(503, 1, PacketResponse.RESET),
    ErrorKind.NO_OWNER: ErrorResponse(),
    ErrorKind.HOP_LIMIT: ErrorResponse(),
    ErrorKind.NOT_READY: ErrorResponse(503, 5),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, 5),
    ErrorKind.OVERLOADED: ErrorResponse(503, 5, PacketResponse.RESET),
    ErrorKind.DEFERRED: ErrorResponse(503, 5),
    ErrorKind.HELD_TOO_LONG: ErrorResponse(503, 5),
    ErrorKind.MESSAGE_MALFORMED: ErrorResponse(400, 2),
    ErrorKind.MESSAGE_BAD_VERSION: ErrorResponse(400, 2),
    ErrorKind.MESSAGE_NOT_AUTHENTIC: ErrorResponse(401, 4),
    ErrorKind.MESSAGE_REPLAYED: ErrorResponse(401, 4),
    ErrorKind.INVALID_ARGUMENT: ErrorResponse(400, 2),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, 4),
    ErrorKind.FORBIDDEN: ErrorResponse(403, 4),
    ErrorKind.NOT_FOUND: ErrorResponse(404, 3),
    ErrorKind.CONFLICT: ErrorResponse(409, 6),
    ErrorKind.TOO_LARGE: ErrorResponse(413, 2),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, 7),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, 5),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, 8),
    ErrorKind.INTERNAL: ErrorResponse(500, 1),
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
        super().__init__(kind, reason)
        self.kind = kind
        self.reason = reason

    def __str__(self) -> str:
        return self.reason

    @property
    def response(self) -> ErrorResponse:
        """Return the response to this kind of error."""
        return ERROR_RESPONSES[self.kind]


class InvariantViolated(AssertionError):
    """An invariant of the decision core does not hold."""
