"""Activity of tracked and pinned flows: hints, use reports and expiry."""

from dataclasses import dataclass, field

from stoattray_core._bucket_writer import BucketWriter
from stoattray_core._flow_groups import pack_flows, unpack_flows
from stoattray_core._identifiers import (
    FlowId,
    MemberId,
    Millis,
    ServerId,
    ServiceId,
)
from stoattray_core._server_selection import adjust_open_flows
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._state import State
from stoattray_core._tables import Bucket, BucketKey, FlowRecord, ServiceRow
from stoattray_core.messages import FlowGroup, Hint, Seen

CHECK_PERIOD_MILLIS = 1_000
USE_REPORTS_PER_IDLE_LIMIT = 4
ENDED_LINGER_MILLIS = 5_000
PIN_EXPIRY_IDLE_LIMITS = 2


@dataclass(slots=True)
class FlowActivity:
    """Sends hints and use reports, and expires records and pins."""

    state: State
    ownership: ShardOwnership
    bucket_writer: BucketWriter
    _hints: dict[MemberId, dict[BucketKey, dict[FlowId, ServerId]]] = field(
        default_factory=dict
    )
    _pin_used_at: dict[tuple[BucketKey, FlowId], Millis] = field(default_factory=dict)
    _reported_at: dict[ServiceId, Millis] = field(default_factory=dict)
    _checked_at: Millis = 0

    def tick(self) -> None:
        """Run the periodic checks."""
        if self.state.now - self._checked_at < CHECK_PERIOD_MILLIS:
            return
        self._checked_at = self.state.now
        self._expire_records()
        self._expire_pins()
        self._report_use()

    def add_hint(
        self, key: BucketKey, flow: FlowId, record: FlowRecord, member: MemberId
    ) -> None:
        """Queue a hint for a balancer that often relays packets of this flow."""
        record.is_hinted = True
        by_key = self._hints.setdefault(member, {})
        by_key.setdefault(key, {})[flow] = record.server

    def mark_pins_used(self, key: BucketKey, flows: dict[FlowId, ServerId]) -> None:
        """Set the last use of newly pinned flows to the current time."""
        for flow in flows:
            self._pin_used_at[(key, flow)] = self.state.now

    def send_hints(self) -> None:
        """Send the queued hints."""
        if not self._hints:
            return
        hints = self._hints
        self._hints = {}
        for member, by_key in hints.items():
            row = self.state.tables.members.get(member)
            if row is None or not row.is_present:
                continue
            groups: list[FlowGroup] = []
            for (service, shard), flows in by_key.items():
                groups.extend(pack_flows(service, shard, flows))
            self.state.send(row.peer_address, Hint(groups))

    def on_hint(self, hint: Hint) -> None:
        """Store the backend servers of flows in tracked buckets."""
        for group in hint.groups:
            bucket = self._bucket(group)
            if bucket is None or not bucket.tracked:
                continue
            for flow in unpack_flows(group):
                bucket.hints[flow] = ServerId(group.server)
                bucket.recent_flows.add(flow)
            self.state.tables.recently_used_buckets.add(_group_key(group))

    def on_seen(self, seen: Seen) -> None:
        """Update the last use of flows that a balancer has seen."""
        for group in seen.groups:
            key = _group_key(group)
            move = self.state.tables.moves.get(key)
            bucket = self._bucket(group)
            for flow in unpack_flows(group):
                if bucket is not None and flow in bucket.pins:
                    self._pin_used_at[(key, flow)] = self.state.now
                record = move.records.get(flow) if move is not None else None
                if record is not None:
                    record.seen_at = self.state.now

    def record_used_flows(self, groups: list[FlowGroup]) -> None:
        """Record UDP flows, which lack opening packets, that peers saw at the base."""
        for group in groups:
            row = self.state.tables.services.get(ServiceId(group.service_name))
            move = self.state.tables.moves.get(_group_key(group))
            if row is None or move is None or move.ready_at is not None:
                continue
            bucket = row.buckets[group.shard]
            for flow in unpack_flows(group):
                if flow not in move.records and flow not in bucket.pins:
                    move.records[flow] = FlowRecord(bucket.base, self.state.now)
                    adjust_open_flows(row, bucket.base, 1)

    def _bucket(self, group: FlowGroup) -> Bucket | None:
        row = self.state.tables.services.get(ServiceId(group.service_name))
        if row is None or not 0 <= group.shard < len(row.buckets):
            return None
        return row.buckets[group.shard]

    def _expire_records(self) -> None:
        """Drop records of flows that have ended or exceeded the idle limit."""
        for (service, _), move in self.state.tables.moves.items():
            if move.is_settling:
                continue
            row = self.state.tables.services[service]
            limit = row.spec.idle_limit_millis
            ended_limit = min(limit, ENDED_LINGER_MILLIS)
            oldest = self.state.now - limit
            oldest_ended = self.state.now - ended_limit
            expired = [
                flow
                for flow, record in move.records.items()
                if record.seen_at < (oldest_ended if record.is_ended else oldest)
            ]
            for flow in expired:
                record = move.records.pop(flow)
                if not record.is_ended:
                    adjust_open_flows(row, record.server, -1)

    def _expire_pins(self) -> None:
        """Remove idle pins and announce their buckets."""
        for key in list(self.state.tables.pinned_buckets):
            row = self.state.tables.services.get(key[0])
            is_owned = self.ownership.is_owner(self.state.owning_shard(key))
            if row is None or not is_owned or key in self.state.tables.moves:
                continue
            current = row.buckets[key[1]]
            oldest = (
                self.state.now - PIN_EXPIRY_IDLE_LIMITS * row.spec.idle_limit_millis
            )
            kept: dict[FlowId, ServerId] = {}
            for flow, server in current.pins.items():
                if self._pin_used_at.setdefault((key, flow), self.state.now) >= oldest:
                    kept[flow] = server
                else:
                    del self._pin_used_at[(key, flow)]
            if len(kept) < len(current.pins):
                self.bucket_writer.replace_pins(row, key[1], kept)

    def _report_use(self) -> None:
        """Report to owners which pinned and hinted flows were seen here."""
        groups: dict[MemberId, list[FlowGroup]] = {}
        due = {
            service
            for service, row in self.state.tables.services.items()
            if self._is_report_due(row)
        }
        for key in sorted(self.state.tables.recently_used_buckets):
            if key[0] in due:
                self._rotate_recent_flows(groups, key)
        for member, used in groups.items():
            row = self.state.tables.members.get(member)
            if row is not None:
                self.state.send(row.peer_address, Seen(used))

    def _is_report_due(self, row: ServiceRow) -> bool:
        period = row.spec.idle_limit_millis // USE_REPORTS_PER_IDLE_LIMIT
        last = self._reported_at.get(row.spec.service, 0)
        if self.state.now - last < period:
            return False
        self._reported_at[row.spec.service] = self.state.now
        return True

    def _rotate_recent_flows(
        self, groups: dict[MemberId, list[FlowGroup]], key: BucketKey
    ) -> None:
        row = self.state.tables.services.get(key[0])
        bucket = row.buckets[key[1]] if row is not None else None
        if bucket is None:
            self.state.tables.recently_used_buckets.discard(key)
            return
        used = bucket.recent_flows
        kept = used | bucket.previous_flows
        bucket.hints = {
            flow: server for flow, server in bucket.hints.items() if flow in kept
        }
        bucket.previous_flows = used
        bucket.recent_flows = set()
        if not kept:
            self.state.tables.recently_used_buckets.discard(key)
        reported = sorted(
            flow for flow in used if flow in bucket.pins or flow in bucket.hints
        )
        if reported:
            self._report(groups, key, reported)

    def _report(
        self,
        groups: dict[MemberId, list[FlowGroup]],
        key: BucketKey,
        flows: list[FlowId],
    ) -> None:
        owner = self.state.tables.shards[self.state.owning_shard(key)].owner
        packed = FlowGroup(key[0], key[1], "", b"".join(flows))
        if owner == self.state.own_id:
            self.on_seen(Seen([packed]))
        elif owner is not None:
            groups.setdefault(owner, []).append(packed)


def _group_key(group: FlowGroup) -> BucketKey:
    return ServiceId(group.service_name), group.shard
