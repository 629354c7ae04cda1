"""Moves of buckets between backend servers without touching open flows.

A bucket is settled (all flows at one backend server, but for pinned ones) or
tracked (the owner decides each unknown flow). A move is

1. announce: the bucket becomes tracked; once every present balancer has
   acknowledged, none forwards an unknown flow without the owner;
2. place: the owner opens new flows at the new backend server, and only after
   the record of each stands on a second balancer;
3. settle: after the idle limit, the flows that still live elsewhere are pinned
   by name on every balancer and the new backend server becomes the base.

Invariant: a flow without record or pin is at the base.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from stoattray_core._buckets import (
    BucketPart,
    apply_shards,
    describe_shard,
    install_bucket,
    refresh_fast_address,
    split_buckets,
)
from stoattray_core._distribution import refresh_desired
from stoattray_core._errors import ErrorKind, InvariantViolated
from stoattray_core._groups import MAX_GROUP_FLOWS, pack_groups, unpack_group
from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    FlowId,
    MemberId,
    Millis,
    ServerId,
    ServiceId,
    server_address,
)
from stoattray_core._ownership import Ownership
from stoattray_core._placement import choose_server, count_opened
from stoattray_core._requests import PendingRequest
from stoattray_core._state import State
from stoattray_core._tables import (
    Bucket,
    BucketKey,
    FlowRecord,
    Move,
    ServiceRow,
)
from stoattray_core.configuration import Policy
from stoattray_core.messages import (
    BucketUpdate,
    CopyRecords,
    Done,
    FlowGroup,
    Hint,
    Seen,
)
from stoattray_core.outputs import Forward

SCAN_PERIOD = 50
EXPIRY_PERIOD = 1_000
USE_REPORTS_PER_IDLE_LIMIT = 4
RETRACK_PERIOD = 60_000
ENDED_LINGER = 5_000
PIN_IDLE_LIMITS = 2


@dataclass(slots=True)
class _Copying:
    key: BucketKey
    member: MemberId
    flows: list[FlowId]


@dataclass(slots=True)
class Moves:
    """The owner's side of bucket moves."""

    state: State
    ownership: Ownership
    _changed: list[BucketKey] = field(default_factory=list)
    _waiting: dict[int, list[BucketKey]] = field(default_factory=dict)
    _to_copy: dict[BucketKey, list[FlowId]] = field(default_factory=dict)
    _copying: dict[int, _Copying] = field(default_factory=dict)
    _hints: dict[MemberId, dict[BucketKey, dict[FlowId, ServerId]]] = field(
        default_factory=dict
    )
    _scanned_at: Millis = -SCAN_PERIOD
    _expired_at: Millis = 0
    _reported_at: dict[ServiceId, Millis] = field(default_factory=dict)
    _successors: dict[int, tuple[MemberId, int] | None] = field(default_factory=dict)
    _copy_version: int = -1
    _pin_seen: dict[tuple[BucketKey, FlowId], Millis] = field(default_factory=dict)
    _n_opened: int = 0
    _rate_since: Millis = 0
    opening_rate: float = 0.0

    def tick(self) -> None:
        """Advance every move of this owner."""
        now = self.state.now
        if not self.state.is_ready:
            self._waiting.clear()
            self._copying.clear()
            self._to_copy.clear()
            return
        self._take_new_shards()
        self._finish_announcements()
        self._watch_successors()
        if now - self._expired_at >= EXPIRY_PERIOD:
            self._expired_at = now
            self._measure_rate()
            self._expire_records()
            self._expire_pins()
            self._report_use()
        if now - self._scanned_at >= SCAN_PERIOD:
            self._scanned_at = now
            self._scan()
        self.flush()

    def flush(self) -> None:
        """Send announcements, copies and hints that have gathered."""
        self._send_announcements()
        self._send_copies()
        self._send_hints()

    # Packets of which this balancer is the owner.

    def on_opening(
        self, row: ServiceRow, shard: int, flow: FlowId, data: bytes
    ) -> ErrorKind | None:
        """Place a new flow; return why no backend server takes it, else None."""
        if not row.desired:
            return ErrorKind.NO_BACKEND_SERVER
        bucket = row.buckets[shard] or self._create(row, shard)
        if bucket.pins.get(flow, bucket.base) not in row.accepting and (
            flow in bucket.pins
        ):
            return ErrorKind.FLOW_REUSED
        key = (row.spec.service, shard)
        move = self.state.tables.moves.get(key)
        if move is None:
            return self._open_untracked(row, shard, flow, data)
        record = move.records.get(flow)
        if record is None:
            self._place(row, shard, flow, data)
            return None
        return self._open_recorded(row, move, flow, data)

    def on_other(
        self,
        row: ServiceRow,
        shard: int,
        flow: FlowId,
        data: bytes,
        ingress: MemberId | None,
        is_ending: bool,
    ) -> ServerId | None:
        """Return where a flow is that is already open, None to hold the packet."""
        bucket = row.buckets[shard] or self._create(row, shard)
        key = (row.spec.service, shard)
        move = self.state.tables.moves.get(key)
        if move is None:
            return bucket.base
        record = move.records.get(flow)
        if record is None:
            record = FlowRecord(bucket.base, self.state.now)
            move.records[flow] = record
            count_opened(self.state, row, record.server, 1)
        record.seen_at = self.state.now
        if is_ending:
            record.is_ended = True
        if ingress is not None:
            self._count_relayed(key, flow, record, ingress)
        if record.n_copies_pending:
            self._hold(record.held, data)
            return None
        return record.server

    def _open_untracked(
        self, row: ServiceRow, shard: int, flow: FlowId, data: bytes
    ) -> None:
        """Open at the base, or begin a move when the base is dead."""
        bucket = row.buckets[shard]
        if bucket.base not in row.failed:
            self.state.emit(Forward(server_address(bucket.base), data))
            return
        self._begin(row, shard, is_planned=False)
        move = self.state.tables.moves[(row.spec.service, shard)]
        self._hold(move.held, data)

    def _open_recorded(
        self, row: ServiceRow, move: Move, flow: FlowId, data: bytes
    ) -> ErrorKind | None:
        """Repeat an opening packet, or refuse a new use of an ended flow's ports."""
        record = move.records[flow]
        if record.is_ended and record.server not in row.accepting:
            return ErrorKind.FLOW_REUSED
        record.seen_at = self.state.now
        record.is_ended = False
        if record.n_copies_pending:
            self._hold(record.held, data)
        else:
            self.state.emit(Forward(server_address(record.server), data))
        return None

    def _place(self, row: ServiceRow, shard: int, flow: FlowId, data: bytes) -> None:
        bucket = row.buckets[shard]
        key = (row.spec.service, shard)
        move = self.state.tables.moves[key]
        self._n_opened += 1
        if move.ready_at is None or move.is_settling:
            self._place_before_ready(row, bucket, move, flow, data)
            return
        server = row.desired[shard]
        if row.spec.policy is Policy.BALANCE:
            server = choose_server(self.state, row, server)
        if server not in row.accepting:
            raise InvariantViolated("new flow for a server that takes none")
        record = FlowRecord(server, self.state.now)
        move.records[flow] = record
        count_opened(self.state, row, server, 1)
        if server == bucket.base:
            self.state.emit(Forward(server_address(server), data))
            return
        record.n_copies_pending = 1
        self._hold(record.held, data)
        self._to_copy.setdefault(key, []).append(flow)

    def _place_before_ready(
        self, row: ServiceRow, bucket: Bucket, move: Move, flow: FlowId, data: bytes
    ) -> None:
        if move.is_settling or bucket.base in row.failed or not move.is_planned:
            self._hold(move.held, data)
            return
        move.records[flow] = FlowRecord(bucket.base, self.state.now)
        count_opened(self.state, row, bucket.base, 1)
        self.state.emit(Forward(server_address(bucket.base), data))

    def _hold(self, held: list[bytes], data: bytes) -> None:
        if len(held) < self.state.settings.max_held_packets:
            held.append(data)
        else:
            self.state.counters["packets_held_over_limit"] += 1

    def _count_relayed(
        self, key: BucketKey, flow: FlowId, record: FlowRecord, ingress: MemberId
    ) -> None:
        record.n_relayed += 1
        if record.n_relayed % self.state.settings.hint_after_packets == 0:
            by_key = self._hints.setdefault(ingress, {})
            by_key.setdefault(key, {})[flow] = record.server
            record.is_hinted = True

    # Phases.

    def _create(self, row: ServiceRow, shard: int) -> Bucket:
        epoch = self.state.tables.shards[shard].epoch
        bucket = Bucket(epoch, 1, tracked=False, base=row.desired[shard])
        install_bucket(self.state, row, shard, bucket)
        self._changed.append((row.spec.service, shard))
        return bucket

    def _scan(self) -> None:
        shards = [
            shard
            for shard in range(len(self.state.tables.shards))
            if self.ownership.is_owner(shard)
        ]
        for row in self.state.tables.services.values():
            if row.desired:
                for shard in shards:
                    self._advance(row, shard)

    def _advance(self, row: ServiceRow, shard: int) -> None:
        bucket = row.buckets[shard]
        if bucket is None:
            self._create(row, shard)
            return
        if not bucket.tracked:
            if (row.spec.service, shard) in self.state.tables.moves:
                self._finish_settling(row, shard)
            elif bucket.base != row.desired[shard] or self._wants_tracking(row):
                self._begin(row, shard, is_planned=bucket.base not in row.failed)
            return
        move = self.state.tables.moves.get((row.spec.service, shard))
        if move is None:
            raise InvariantViolated("owner of a tracked bucket has no records")
        self._make_ready(row, shard, move)
        if self._may_settle(row, bucket, move):
            self._settle(row, shard, move)

    def _wants_tracking(self, row: ServiceRow) -> bool:
        if row.spec.policy is not Policy.BALANCE:
            return False
        if row.tracking_stopped_at is None:
            return True
        return self.state.now - row.tracking_stopped_at >= RETRACK_PERIOD

    def _begin(self, row: ServiceRow, shard: int, is_planned: bool) -> None:
        held = row.buckets[shard]
        epoch = self.state.tables.shards[shard].epoch
        bucket = Bucket(epoch, held.version + 1, True, held.base, held.pins)
        install_bucket(self.state, row, shard, bucket)
        key = (row.spec.service, shard)
        self.state.tables.moves[key] = Move(self.state.now, is_planned)
        self._changed.append(key)

    def _make_ready(self, row: ServiceRow, shard: int, move: Move) -> None:
        if move.ready_at is not None or move.announcement == 0:
            return
        if self.state.requests.is_open(move.announcement):
            return
        age = self.state.now - move.started_at
        if move.is_planned and age < self.state.settings.move_hold:
            return
        move.ready_at = self.state.now
        self._release_held(row, shard, move)

    def _release_held(self, row: ServiceRow, shard: int, move: Move) -> None:
        held = move.held
        move.held = []
        for data in held:
            flow = FlowId(data[12:16] + data[20:22])
            kind = self.on_opening(row, shard, flow, data)
            if kind is not None:
                self.state.refuse(kind, data)

    def _may_settle(self, row: ServiceRow, bucket: Bucket, move: Move) -> bool:
        if move.ready_at is None or move.is_settling:
            return False
        if row.spec.policy is Policy.BALANCE:
            is_busy = self.opening_rate > self.state.settings.tracking_limit
            if not is_busy and bucket.base in row.accepting:
                return False
            if is_busy:
                row.tracking_stopped_at = self.state.now
        if self.state.now - move.ready_at < row.spec.idle_limit:
            return False
        if any(record.n_copies_pending for record in move.records.values()):
            return False
        return len(move.records) <= self.state.settings.max_pins

    def _settle(self, row: ServiceRow, shard: int, move: Move) -> None:
        """Pin the flows that live elsewhere and make the new server the base."""
        held = row.buckets[shard]
        base = row.desired[shard]
        pins = {
            flow: server
            for flow, server in held.pins.items()
            if flow not in move.records and server != base
        }
        for flow, record in move.records.items():
            if record.server != base:
                pins[flow] = record.server
        epoch = self.state.tables.shards[shard].epoch
        bucket = Bucket(epoch, held.version + 1, False, base, pins)
        key = (row.spec.service, shard)
        for flow in pins:
            self._pin_seen.setdefault((key, flow), self.state.now)
        move.is_settling = True
        move.announcement = 0
        install_bucket(self.state, row, shard, bucket)
        row.fast_addresses[shard] = None
        self._changed.append(key)

    def _finish_settling(self, row: ServiceRow, shard: int) -> None:
        """Forget the records once every balancer has the settled bucket."""
        key = (row.spec.service, shard)
        move = self.state.tables.moves[key]
        if move.announcement == 0 or self.state.requests.is_open(move.announcement):
            return
        for record in move.records.values():
            count_opened(self.state, row, record.server, -1)
        del self.state.tables.moves[key]
        refresh_fast_address(row, shard)
        self._release_held(row, shard, move)

    def _take_new_shards(self) -> None:
        """Announce every bucket of shards that this balancer has just got."""
        shards = self.ownership.newly_owned
        self.ownership.newly_owned = []
        for shard in shards:
            epoch = self.state.tables.shards[shard].epoch
            for service, row in self.state.tables.services.items():
                bucket = row.buckets[shard]
                if bucket is None:
                    continue
                bucket.epoch = epoch
                self._changed.append((service, shard))
                move = self.state.tables.moves.get((service, shard))
                if move is not None:
                    for record in move.records.values():
                        count_opened(self.state, row, record.server, 1)
                    self._copy_again((service, shard), move)

    # Announcements.

    def _send_announcements(self) -> None:
        changed = list(dict.fromkeys(self._changed))
        self._changed = []
        if not changed:
            return
        group = self.state.requests.next_number()
        for part in split_buckets(changed, self.state.tables.services):
            if part.buckets:
                self._announce_part(group, part)
        for key in changed:
            move = self.state.tables.moves.get(key)
            if move is not None:
                move.announcement = group
        self._waiting[group] = changed

    def _announce_part(self, group: int, part: BucketPart) -> None:
        shards = sorted({bucket.shard for bucket in part.buckets})
        claims = [describe_shard(self.state, shard) for shard in shards]
        for row in self.state.others():
            number = self.state.requests.next_number()
            update = BucketUpdate(number, claims, part.buckets, part.pins)
            pending = PendingRequest(
                number, group, row.member, row.peer_address, update, self.state.now
            )
            self.state.requests.add(pending)
            self.state.send(row.peer_address, update)

    def _finish_announcements(self) -> None:
        for group in list(self._waiting):
            if not self.state.requests.is_open(group):
                del self._waiting[group]

    # Copies.

    def _send_copies(self) -> None:
        for key, flows in list(self._to_copy.items()):
            del self._to_copy[key]
            for start in range(0, len(flows), MAX_GROUP_FLOWS):
                self._send_copy(key, flows[start : start + MAX_GROUP_FLOWS])

    def _send_copy(self, key: BucketKey, flows: list[FlowId]) -> None:
        service, shard = key
        move = self.state.tables.moves.get(key)
        if move is None:
            return
        member = self.ownership.successor(shard)
        if member is None:
            self._release_flows(move, flows)
            return
        known = {
            flow: move.records[flow].server for flow in flows if flow in move.records
        }
        number = self.state.requests.next_number()
        epoch = self.state.tables.shards[shard].epoch
        groups = list(pack_groups(service, shard, known))
        message = CopyRecords(number, epoch, shard, groups)
        address = self.state.tables.members[member].peer_address
        pending = PendingRequest(
            number, number, member, address, message, self.state.now
        )
        self.state.requests.add(pending)
        self._copying[number] = _Copying(key, member, list(known))
        self.state.send(address, message)

    def _release_flows(self, move: Move, flows: list[FlowId]) -> None:
        for flow in flows:
            record = move.records.get(flow)
            if record is None:
                continue
            record.n_copies_pending = 0
            held = record.held
            record.held = []
            for data in held:
                self.state.emit(Forward(server_address(record.server), data))

    def _watch_successors(self) -> None:
        """Copy again what a successor that is gone or replaced has held."""
        if self._copy_version == self.state.membership_version:
            return
        self._copy_version = self.state.membership_version
        for number, copying in list(self._copying.items()):
            if not self.state.requests.is_open(number) or (
                self.ownership.successor(copying.key[1]) != copying.member
            ):
                del self._copying[number]
                self.state.requests.drop_groups([number])
                self._to_copy.setdefault(copying.key, []).extend(copying.flows)
        for key, move in self.state.tables.moves.items():
            if self._is_successor_new(key[1]):
                self._copy_again(key, move)
        for _, shard in self.state.tables.moves:
            self._successors[shard] = self._successor_incarnation(shard)

    def _is_successor_new(self, shard: int) -> bool:
        return self._successors.get(shard) != self._successor_incarnation(shard)

    def _successor_incarnation(self, shard: int) -> tuple[MemberId, int] | None:
        member = self.ownership.successor(shard)
        if member is None:
            return None
        return member, self.state.tables.members[member].incarnation

    def _copy_again(self, key: BucketKey, move: Move) -> None:
        row = self.state.tables.services[key[0]]
        bucket = row.buckets[key[1]]
        flows = [
            flow
            for flow, record in move.records.items()
            if record.server != bucket.base and not record.n_copies_pending
        ]
        if flows:
            self._to_copy.setdefault(key, []).extend(flows)

    def on_copy(self, copy: CopyRecords, address: Address) -> None:
        """Keep copies for an owner, unless a later owner is known."""
        if not 0 <= copy.shard < N_SHARDS:
            return
        row = self.state.tables.shards[copy.shard]
        if copy.epoch < row.epoch or not self.state.is_ready:
            shards = [describe_shard(self.state, copy.shard)]
            self.state.send(address, Done(copy.request, False, shards))
            return
        for group in copy.groups:
            key = (ServiceId(group.service_name), group.shard)
            copies = self.state.tables.copies.setdefault(key, {})
            for flow in unpack_group(group):
                copies[flow] = ServerId(group.server)
        self.state.send(address, Done(copy.request, True, []))

    def on_done(self, done: Done, sender: MemberId) -> None:
        """Take in an acknowledgement, or step down when it is a refusal."""
        apply_shards(self.state, done.shards)
        pending = self.state.requests.finish(done.request, sender)
        if pending is None:
            return
        self._record_used(done.used)
        copying = self._copying.pop(done.request, None)
        if copying is None:
            return
        move = self.state.tables.moves.get(copying.key)
        if move is not None and done.accepted:
            self._release_flows(move, copying.flows)
        elif move is not None:
            self._to_copy.setdefault(copying.key, []).extend(copying.flows)

    # Hints and use of flows.

    def _send_hints(self) -> None:
        for member, by_key in self._hints.items():
            row = self.state.tables.members.get(member)
            if row is None or not row.is_present:
                continue
            groups: list[FlowGroup] = []
            for (service, shard), flows in by_key.items():
                groups.extend(pack_groups(service, shard, flows))
            self.state.send(row.peer_address, Hint(groups))
        self._hints = {}

    def on_hint(self, hint: Hint) -> None:
        """Note where flows of tracked buckets are."""
        for group in hint.groups:
            row = self.state.tables.services.get(ServiceId(group.service_name))
            bucket = row.buckets[group.shard] if row is not None else None
            if bucket is None or not bucket.tracked:
                continue
            for flow in unpack_group(group):
                bucket.hints[flow] = ServerId(group.server)

    def _record_used(self, groups: list[FlowGroup]) -> None:
        """Record flows without opening packet that others have seen at the base."""
        for group in groups:
            row = self.state.tables.services.get(ServiceId(group.service_name))
            move = self.state.tables.moves.get(
                (ServiceId(group.service_name), group.shard)
            )
            if row is None or move is None or move.ready_at is not None:
                continue
            bucket = row.buckets[group.shard]
            for flow in unpack_group(group):
                if flow not in move.records and flow not in bucket.pins:
                    move.records[flow] = FlowRecord(bucket.base, self.state.now)
                    count_opened(self.state, row, bucket.base, 1)

    def _report_use(self) -> None:
        """Tell owners which pinned and hinted flows passed by here."""
        groups: dict[MemberId, list[FlowGroup]] = {}
        for service, row in self.state.tables.services.items():
            period = row.spec.idle_limit // USE_REPORTS_PER_IDLE_LIMIT
            if self.state.now - self._reported_at.get(service, 0) < period:
                continue
            self._reported_at[service] = self.state.now
            for shard, bucket in enumerate(row.buckets):
                if bucket is not None:
                    self._rotate_used(groups, row, shard, bucket)
        for member, used in groups.items():
            row = self.state.tables.members.get(member)
            if row is not None:
                self.state.send(row.peer_address, Seen(used))

    def _rotate_used(
        self,
        groups: dict[MemberId, list[FlowGroup]],
        row: ServiceRow,
        shard: int,
        bucket: Bucket,
    ) -> None:
        used = bucket.used
        kept = used | bucket.used_before
        if bucket.hints:
            bucket.hints = {
                flow: server for flow, server in bucket.hints.items() if flow in kept
            }
        bucket.used_before = used
        bucket.used = set()
        followed = [
            flow for flow in used if flow in bucket.pins or flow in bucket.hints
        ]
        if not followed:
            return
        owner = self.state.tables.shards[shard].owner
        packed = FlowGroup(row.spec.service, shard, "", b"".join(sorted(followed)))
        if owner == self.state.me:
            self.on_seen(Seen([packed]))
        elif owner is not None:
            groups.setdefault(owner, []).append(packed)

    def on_seen(self, seen: Seen) -> None:
        """Note that flows are in use elsewhere."""
        for group in seen.groups:
            key = (ServiceId(group.service_name), group.shard)
            move = self.state.tables.moves.get(key)
            for flow in unpack_group(group):
                self._pin_seen[(key, flow)] = self.state.now
                record = move.records.get(flow) if move is not None else None
                if record is not None:
                    record.seen_at = self.state.now

    def _expire_records(self) -> None:
        """Drop records of flows that ended or were silent beyond the limit."""
        for (service, _), move in self.state.tables.moves.items():
            row = self.state.tables.services[service]
            limit = row.spec.idle_limit
            for flow, record in list(move.records.items()):
                linger = limit if not record.is_ended else min(limit, ENDED_LINGER)
                if self.state.now - record.seen_at > linger:
                    del move.records[flow]
                    count_opened(self.state, row, record.server, -1)

    def _expire_pins(self) -> None:
        """Announce buckets anew without the pins that nobody uses any more."""
        for key in [key for key, move in self._pinned_buckets() if move is None]:
            row = self.state.tables.services[key[0]]
            held = row.buckets[key[1]]
            limit = PIN_IDLE_LIMITS * row.spec.idle_limit
            kept: dict[FlowId, ServerId] = {}
            for flow, server in held.pins.items():
                seen_at = self._pin_seen.setdefault((key, flow), self.state.now)
                if self.state.now - seen_at <= limit:
                    kept[flow] = server
                else:
                    del self._pin_seen[(key, flow)]
            if len(kept) < len(held.pins):
                epoch = self.state.tables.shards[key[1]].epoch
                bucket = Bucket(epoch, held.version + 1, held.tracked, held.base, kept)
                install_bucket(self.state, row, key[1], bucket)
                self._changed.append(key)

    def _pinned_buckets(self) -> Iterator[tuple[BucketKey, Move | None]]:
        for service, row in self.state.tables.services.items():
            for shard, bucket in enumerate(row.buckets):
                if bucket is None or not bucket.pins:
                    continue
                if self.ownership.is_owner(shard):
                    key = (service, shard)
                    yield key, self.state.tables.moves.get(key)

    def _measure_rate(self) -> None:
        elapsed = max(1, self.state.now - self._rate_since)
        self.opening_rate = self._n_opened * 1_000 / elapsed
        self._n_opened = 0
        self._rate_since = self.state.now

    def refresh_services(self) -> None:
        """Compute placement tables anew after a change of health."""
        for row in self.state.tables.services.values():
            refresh_desired(self.state, row)
