"""Encoding of the messages between balancers with cookie placement.

Messages use msgpack instead of thrift: thriftpy2 takes 13 MB, more than the rest of
such a process. Messages are arrays; new fields are appended, unknown trailing fields
are ignored, and missing ones have defaults, so that balancers of different releases
understand each other. To a release without eras, a lower revision of a newer era looks
older and is not requested; it reads the store itself.
"""

import zlib
from typing import Any, NamedTuple

import msgpack

from stoattray_balancer.steering._frames import MAX_FRAME_BYTES
from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import is_host_address
from stoattray_core._sentinel import Refused
from stoattray_core.steering.cut_offs import CutOffReport
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.load_reports import MAX_ROWS, LoadRow
from stoattray_core.steering.pinned_flows import PinnedFlow
from stoattray_core.steering.replica import Difference, Record, Version

FORMAT_VERSION = 1

MIN_COMPRESSED_BYTES = 4_096
"""Least size of differences that are compressed, if the peer supports it. Records are
similar: a snapshot of 3,000 servers shrinks to a tenth in 4 ms."""

COMPRESSION_LEVEL = 1
LOAD_UNITS = 10
"""Loads and capacities are sent as whole tenths of requests and slots."""

ZLIB_PREFIX = b"\x78"
"""First byte of a compressed difference (zlib header); uncompressed ones start with the
msgpack tag of an array."""

MALFORMED = Refused(ErrorKind.MESSAGE_MALFORMED)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a datagram."""
    row = [
        FORMAT_VERSION,
        _member_row(heartbeat.member),
        heartbeat.is_ready,
        heartbeat.is_reader,
        heartbeat.revision,
        heartbeat.confirmed_age,
        heartbeat.recovery_age,
        heartbeat.pending_requests,
        [_member_row(entry) for entry in heartbeat.live_members],
        heartbeat.failing_cookies,
        heartbeat.first_reader,
        heartbeat.era,
        *_appended_fields(heartbeat),
    ]
    return msgpack.packb(row)


def _appended_fields(heartbeat: Heartbeat) -> list[Any]:
    """Return the trailing fields, without those at the end that have their default."""
    fields: list[Any] = [
        _pack_load_rows(heartbeat.load_rows),
        heartbeat.cut_offs,
        heartbeat.pinned_flows,
    ]
    while fields and not fields[-1]:
        del fields[-1]
    return fields


def decode_heartbeat(data: bytes) -> Heartbeat | Refused:
    """Return the heartbeat in a datagram, or why it is refused."""
    try:
        row = msgpack.unpackb(data, strict_map_key=False)
        (
            version,
            member,
            is_ready,
            is_reader,
            revision,
            confirmed_age,
            recovery_age,
            pending_requests,
            live_members,
        ) = row[:9]
        failing_cookies = row[9] if len(row) > 9 else ()
        first_reader = row[10] if len(row) > 10 else None
        era = row[11] if len(row) > 11 else 0
        load_rows = row[12] if len(row) > 12 else ()
        cut_offs = row[13] if len(row) > 13 else ()
        pinned_flows = row[14] if len(row) > 14 else ()
        if version != FORMAT_VERSION:
            return Refused(
                ErrorKind.MESSAGE_BAD_VERSION, f"unsupported version {version!r}"
            )
        return Heartbeat(
            member=_read_member(member),
            is_ready=bool(is_ready),
            is_reader=bool(is_reader),
            revision=_read_number(revision),
            confirmed_age=_read_number(confirmed_age),
            recovery_age=None if recovery_age is None else _read_number(recovery_age),
            pending_requests={
                _read_number(cookie): _read_number(n_requests)
                for cookie, n_requests in pending_requests.items()
            },
            live_members=tuple(_read_member(entry) for entry in live_members),
            failing_cookies=tuple(_read_number(cookie) for cookie in failing_cookies),
            first_reader=None if first_reader is None else _read_reader(first_reader),
            era=_read_number(era),
            load_rows=_read_load_rows(load_rows),
            cut_offs=tuple(_read_cut_off(cut_off) for cut_off in cut_offs),
            pinned_flows=tuple(_read_pinned_flow(pin) for pin in pinned_flows),
        )
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
        return Refused(ErrorKind.MESSAGE_MALFORMED, repr(error))


class SyncRequest(NamedTuple):
    """Request for the changes after a version.

    Parameters
    ----------
    after : Version
        Version up to which the requester's replica is complete.
    may_compress : bool
        Whether the requester supports compressed responses.
    wants_pins : bool
        Whether the requester starts, so that it has no pinned flows.
    """

    after: Version
    may_compress: bool
    wants_pins: bool = False


def encode_sync_request(after: Version, *, wants_pins: bool = False) -> bytes:
    """Return the request for the changes after a version."""
    row = [FORMAT_VERSION, after.revision, True, after.era]
    return msgpack.packb([*row, True] if wants_pins else row)


def decode_sync_request(data: bytes) -> SyncRequest | Refused:
    """Return a peer's request, or why it is refused."""
    try:
        version, after_revision, *more = msgpack.unpackb(data)
        if version != FORMAT_VERSION:
            return MALFORMED
        era = more[1] if len(more) > 1 else 0
        return SyncRequest(
            Version(_read_number(era), _read_number(after_revision)),
            may_compress=more[:1] == [True],
            wants_pins=more[2:3] == [True],
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Refused(ErrorKind.MESSAGE_MALFORMED, repr(error))


def encode_difference(
    heartbeat: Heartbeat, difference: Difference, *, may_compress: bool
) -> bytes:
    """Return the response to a request: the sender's heartbeat and the changes."""
    rows = [list(record) for record in difference.records]
    data = msgpack.packb(
        [
            FORMAT_VERSION,
            encode_heartbeat(heartbeat),
            difference.revision,
            difference.is_snapshot,
            rows,
            difference.era,
        ]
    )
    if may_compress and len(data) >= MIN_COMPRESSED_BYTES:
        return zlib.compress(data, COMPRESSION_LEVEL)
    return data


def decode_difference(data: bytes) -> tuple[Heartbeat, Difference] | Refused:
    """Return heartbeat and changes of a response, or why it is refused."""
    try:
        plain = _decompress(data) if data.startswith(ZLIB_PREFIX) else data
        version, heartbeat_bytes, revision, is_snapshot, rows, *more = msgpack.unpackb(
            plain
        )
        heartbeat = decode_heartbeat(heartbeat_bytes)
        if version != FORMAT_VERSION or isinstance(heartbeat, Refused):
            return MALFORMED
        records = [_read_record(row) for row in rows]
        era = _read_number(more[0]) if more else 0
        difference = Difference(_read_number(revision), records, bool(is_snapshot), era)
        return heartbeat, difference
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        return Refused(ErrorKind.MESSAGE_MALFORMED, repr(error))


def encode_member(entry: MemberEntry) -> bytes:
    """Return a member as it is written to the store."""
    return msgpack.packb(_member_row(entry))


def decode_member(data: bytes) -> MemberEntry | Refused:
    """Return a member read from the store, or why it is refused."""
    try:
        return _read_member(msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Refused(ErrorKind.ENTRY_MALFORMED, repr(error))


def _member_row(entry: MemberEntry) -> list[Any]:
    return [entry.name, entry.host, entry.data_centre, entry.incarnation]


def _read_member(row: Any) -> MemberEntry:
    name, host, data_centre, incarnation, *_ = row
    if not all(isinstance(text, str) for text in (name, host, data_centre)):
        raise TypeError("name, host and data centre of a member must be strings")
    if not is_host_address(host):
        raise ValueError(f"{host[:20]!r} is no IPv4 address of a host")
    return MemberEntry(name, host, data_centre, _read_number(incarnation))


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed difference is truncated or too large")
    return plain


def _read_reader(row: Any) -> tuple[str, int]:
    name, age, *_ = row
    if not isinstance(name, str):
        raise TypeError("name of a reader must be a string")
    return name, _read_number(age)


def _read_cut_off(row: Any) -> CutOffReport:
    service, level, share_permille, age, *_ = row
    if not isinstance(service, str):
        raise TypeError("service of a cut-off must be a string")
    return CutOffReport(
        service,
        _read_number(level),
        _read_number(share_permille),
        _read_number(age),
    )


def _read_pinned_flow(row: Any) -> PinnedFlow:
    key, cookie, sequence, acknowledgement, age, *_ = row
    if not isinstance(key, bytes):
        raise TypeError("key of a pinned flow must be bytes")
    numbers = (cookie, sequence, acknowledgement, age)
    return PinnedFlow(key, *(_read_number(number) for number in numbers))


def _pack_load_rows(rows: tuple[LoadRow, ...]) -> list[list[Any]]:
    """Return rows by data centre, so that its name is sent once."""
    packed: dict[str, list[Any]] = {}
    for row in rows:
        load, capacity = (round(n * LOAD_UNITS) for n in (row.load, row.capacity))
        services = packed.setdefault(row.data_centre, [])
        services.append([row.service, load, capacity, row.age])
    return [[data_centre, *services] for data_centre, services in packed.items()]


def _read_load_rows(packed: Any) -> tuple[LoadRow, ...]:
    rows = []
    for data_centre, *services in packed:
        for service, load, capacity, age, *_ in services:
            if not isinstance(data_centre, str) or not isinstance(service, str):
                raise TypeError("names in a row of load must be strings")
            load, capacity = (_read_number(n) / LOAD_UNITS for n in (load, capacity))
            rows.append(
                LoadRow(data_centre, service, load, capacity, _read_number(age))
            )
    return tuple(rows[:MAX_ROWS])


def _read_number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError(f"{value!r} is not a non-negative integer")
    return value


def _read_record(row: Any) -> Record:
    key, revision, value = row
    if not isinstance(key, str) or not isinstance(value, bytes | None):
        raise TypeError("a record must have a string key and bytes or no value")
    return Record(key, _read_number(revision), value)
