"""Builders of test data for cookie placement, without network or real time."""

import struct
from random import Random

from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import (
    BackendServerEntry,
    Configuration,
    Entry,
    Evacuation,
    MemberEntry,
    RequestKind,
    Route,
)
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.packet import Packet
from stoattray_core.steering.replica import Difference, Record, Version
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.steering import Steering
from stoattray_core.steering.warm_up_budget import WarmUpBounds

LOOKUP_DESTINATION = b"\xc6\x12\x00\x01\x20\xfb"
UNKNOWN_DESTINATION = b"\xc6\x12\x00\x09\x20\xfb"
FLOW_LIFE_MILLIS = 60_000
START_MILLIS = 1_000_000
OPENING_SEQUENCE = 1_000
FIRST_ACKNOWLEDGEMENT = 5_001
"""Numbers of the callers' openings, and of the first packets that follow them."""


class EventRecorder:
    """Event sink that keeps the events of a balancer."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def __call__(self, name: str, **fields: object) -> None:
        self.events.append((name, fields))

    def is_enabled(self, name: str) -> bool:
        """Return that every event is enabled."""
        return True

    def note_suppressed(self, name: str) -> None:
        """Never called, since every event is enabled."""
        raise AssertionError(name)

    def names(self) -> list[str]:
        """Return the names of the events so far."""
        return [name for name, _ in self.events]


class EntryDecoder:
    """Decoder of records whose value is the index of a stored entry.

    The key alone decides for evacuations; their value is always the same, as on the
    users' platform.
    """

    def __init__(self) -> None:
        self._entries: list[Entry | Refused] = []

    def record(self, key: str, revision: int, entry: Entry | Refused) -> Record:
        """Return a record that decodes to `entry`."""
        if isinstance(entry, Evacuation):
            return Record(key, revision, b"{}")
        self._entries.append(entry)
        return Record(key, revision, str(len(self._entries) - 1).encode())

    def decode(self, record: Record) -> Entry | Refused | None:
        """Return the entry of a record."""
        data_centre = self.evacuated_data_centre(record.key)
        if data_centre is not None:
            return Evacuation(data_centre)
        return self._entries[int(record.value or b"")]

    def backend_server_name(self, key: str) -> str | None:
        """Return the name of the server whose record has this key."""
        return key.removeprefix("servers/") if key.startswith("servers/") else None

    def evacuated_data_centre(self, key: str) -> str | None:
        """Return the data centre whose evacuation has this key."""
        prefix = "evacuations/"
        return key.removeprefix(prefix) or None if key.startswith(prefix) else None


def server_entry(name: str = "i-01", **changes: object) -> BackendServerEntry:
    """Return a warm, ready backend server of the lookup service."""
    values = {
        "name": name,
        "label": struct.pack(">Q", int(name.removeprefix("i-"), 16)),
        "service": "lookup",
        "address": ("10.128.0.9", 8_080),
        "data_centre": "luzon-a",
        "capacity": 2,
        "is_draining": False,
        "warmup_remaining_millis": 0,
        "started_at": 1,
        **changes,
    }
    return BackendServerEntry(**values)


def server_row(name: str = "i-01", **changes: object) -> ServerRow:
    """Return the row of a backend server."""
    return ServerRow(server_entry(name, **changes), cookie=1)


def configuration(version: int = 1, **changes: object) -> Configuration:
    """Return a configuration with one route to the lookup service."""
    route = Route(
        "lookup", LOOKUP_DESTINATION, (("lookup", 1),), RequestKind.IDEMPOTENT
    )
    values = {
        "version": version,
        "routes": {LOOKUP_DESTINATION: route},
        "idle_timeout_millis": 15_000,
        **changes,
    }
    return Configuration(**values)


def member_entry(name: str = "edge-1", **changes: object) -> MemberEntry:
    """Return the entry of a balancer in the first data centre."""
    values = {
        "name": name,
        "host": "10.1.0.10",
        "data_centre": "luzon-a",
        "incarnation": 1,
        **changes,
    }
    return MemberEntry(**values)


def heartbeat(name: str = "edge-2", **changes: object) -> Heartbeat:
    """Return the heartbeat of a ready balancer with a fresh replica."""
    values = {
        "member": member_entry(name),
        "is_ready": True,
        "is_reader": True,
        "revision": 0,
        "confirmed_age": 0,
        "recovery_age": None,
        "pending_requests": {},
        **changes,
    }
    return Heartbeat(**values)


class Balancer:
    """A balancer's `Steering` with a simulated clock.

    Parameters
    ----------
    name : str
        Name of the balancer.
    data_centre : str
        Its data centre.
    seed : int
        Seed of its random choices.
    decoder : EntryDecoder or None
        Decoder of the store's records; a new one by default.
    warm_up_bounds : WarmUpBounds or None
        Allowance for cold servers; None if openings for them are not limited.
    remote_traffic : RemoteTrafficSettings or None
        Limits the traffic between data centres.
    """

    def __init__(
        self,
        name: str = "edge-1",
        data_centre: str = "luzon-a",
        seed: float = 1,
        decoder: EntryDecoder | None = None,
        warm_up_bounds: WarmUpBounds | None = None,
        remote_traffic: RemoteTrafficSettings | None = None,
    ) -> None:
        self.now = START_MILLIS
        self.recorder = EventRecorder()
        self.decoder = decoder or EntryDecoder()
        self.own = member_entry(name, data_centre=data_centre)
        self.steering = Steering(
            self.own,
            decoder=self.decoder,
            flow_life_millis=FLOW_LIFE_MILLIS,
            random=Random(seed),
            on_event=self.recorder,
            warm_up_bounds=warm_up_bounds,
            remote_traffic=remote_traffic,
        )
        self._warm_up_bounds = warm_up_bounds
        self._remote_traffic = remote_traffic
        self._revision = 0

    def restarted(self, seed: float) -> "Balancer":
        """Return a new process of this balancer that has read the same store."""
        balancer = Balancer(
            self.own.name,
            self.own.data_centre,
            seed,
            self.decoder,
            warm_up_bounds=self._warm_up_bounds,
            remote_traffic=self._remote_traffic,
        )
        balancer.now = self.now
        balancer._revision = self._revision
        balancer.steering.store_health.note_response(self.now)
        balancer.steering.apply_changes(
            self.steering.replica.changes_since(Version(0, 0)), self.now
        )
        balancer.steering.confirm_by_snapshot(self.now)
        return balancer

    def declare(self, *entries: Entry | Refused, key: str | None = None) -> None:
        """Apply entries from the store, each at a new revision."""
        for entry in entries:
            self._revision += 1
            name = key or _key(entry)
            record = self.decoder.record(name, self._revision, entry)
            self.apply_record(record)

    def remove(self, name: str) -> None:
        """Apply the deletion of a backend server's record from the store."""
        self.remove_key(f"servers/{name}")

    def remove_key(self, key: str) -> None:
        """Apply the deletion of a record from the store."""
        self._revision += 1
        self.apply_record(Record(key, self._revision, None))

    def next_revision(self) -> int:
        """Return the revision of the next record from the store."""
        self._revision += 1
        return self._revision

    def apply_record(self, record: Record) -> None:
        """Apply one record from the store."""
        self.steering.store_health.note_response(self.now)
        self.steering.confirm_by_snapshot(self.now)
        self.steering.apply_changes(
            Difference(record.revision, [record], False), self.now
        )

    def open(self, port: int = 40_000, **changes: object) -> ServerRow | Refused:
        """Route an opening packet and return its backend server."""
        return self.steering.route_packet(opening(port, **changes), self.now)

    def follow(self, port: int, server: ServerRow) -> ServerRow | Refused:
        """Route the packet that follows an opening that `server` answered."""
        return self.steering.route_packet(following(port, server.cookie), self.now)

    def advance(self, millis: int, step: int = 5) -> list[tuple[ServerRow, bytes]]:
        """Advance the clock tick by tick; return the openings that were resent."""
        resent = []
        end = self.now + millis
        while self.now < end:
            self.now = min(end, self.now + step)
            resent.extend(self.steering.tick(self.now))
        return resent


def opening(port: int = 40_000, **changes: object) -> Packet:
    """Return a caller's opening packet."""
    values = {
        "key": _flow_key(port),
        "destination": LOOKUP_DESTINATION,
        "cookie": 0,
        "is_opening": True,
        "is_ending": False,
        "n_retransmissions": 0,
        "sequence": OPENING_SEQUENCE,
        "acknowledgement": 0,
        "has_data": False,
        "data": b"opening %d" % port,
        **changes,
    }
    return Packet(**values)


def following(port: int, cookie: int, **changes: object) -> Packet:
    """Return a packet of an open flow."""
    values = {
        "cookie": cookie,
        "is_opening": False,
        "sequence": OPENING_SEQUENCE + 1,
        "acknowledgement": FIRST_ACKNOWLEDGEMENT,
        "data": b"following",
        **changes,
    }
    return opening(port, **values)


def _flow_key(port: int) -> bytes:
    return b"\x64\x40\x00\x07" + LOOKUP_DESTINATION + struct.pack(">H", port)


def _key(entry: Entry | Refused) -> str:
    if isinstance(entry, Configuration):
        return "configuration"
    if isinstance(entry, MemberEntry):
        return f"members/{entry.name}"
    if isinstance(entry, BackendServerEntry):
        return f"servers/{entry.name}"
    if isinstance(entry, Evacuation):
        return f"evacuations/{entry.data_centre}"
    return "members/x"
