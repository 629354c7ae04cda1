"""Moves of buckets between backend servers without breaking open flows.

A bucket is settled (all flows except pinned ones are at one backend server) or
tracked (the owner decides about each unknown flow). A move has three phases:

1. announce: the bucket becomes tracked; once every present balancer has
   acknowledged, none forwards an unknown flow without the owner;
2. place: the owner opens new flows at the new backend server, each only after
   its record is stored on a second balancer;
3. settle: after the idle limit, the flows that are still elsewhere are pinned
   on every balancer and the new backend server becomes the base.

Invariant: a flow without record or pin is at the base.
"""

import heapq
from dataclasses import dataclass, field

from stoattray_core._bucket_announcer import BucketAnnouncer
from stoattray_core._bucket_writer import BucketWriter
from stoattray_core._errors import InvariantViolated
from stoattray_core._flow_activity import FlowActivity
from stoattray_core._flow_placer import FlowPlacer
from stoattray_core._identifiers import N_SHARDS, Millis, ServiceId
from stoattray_core._record_replicator import RecordReplicator
from stoattray_core._server_selection import adjust_open_flows
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._state import State
from stoattray_core._tables import Bucket, BucketKey, BucketMove, ServiceRow
from stoattray_core.configuration import Policy

CHECK_PERIOD_MILLIS = 50
SLOW_CHECK_PERIOD_MILLIS = 1_000
RETRACK_PERIOD_MILLIS = 60_000


@dataclass(slots=True)
class MoveScheduler:
    """Advances the moves of all buckets that this balancer owns."""

    state: State
    ownership: ShardOwnership
    announcer: BucketAnnouncer
    bucket_writer: BucketWriter
    replicator: RecordReplicator
    activity: FlowActivity
    placer: FlowPlacer
    _due: list[tuple[Millis, BucketKey]] = field(default_factory=list)
    _scheduled: set[BucketKey] = field(default_factory=set)

    @property
    def is_busy(self) -> bool:
        """Return whether a bucket is due within ``CHECK_PERIOD_MILLIS``."""
        return (
            bool(self._due) and self._due[0][0] - self.state.now <= CHECK_PERIOD_MILLIS
        )

    def tick(self) -> None:
        """Advance every bucket that is due."""
        if not self.state.is_ready:
            self._reset()
            return
        self._announce_new_shards()
        self._schedule_changed_services()
        self.replicator.update_successors()
        self.placer.tick()
        self.activity.tick()
        self._advance_due()
        self.flush()

    def flush(self) -> None:
        """Send the queued announcements, copies and hints."""
        self.announcer.send()
        self.replicator.send()
        self.activity.send_hints()

    def track_service(self, service: ServiceId) -> None:
        """Begin a move of each of the service's settled buckets that are owned here."""
        row = self.state.tables.services[service]
        for shard, bucket in enumerate(row.buckets):
            owning_shard = self.state.owning_shard((service, shard))
            if (
                bucket is None
                or bucket.tracked
                or not self.ownership.is_owner(owning_shard)
            ):
                continue
            if (service, shard) not in self.state.tables.moves:
                self.bucket_writer.begin_move(row, shard, is_planned=True)
                self._schedule((service, shard), self.state.now)

    def _reset(self) -> None:
        self.announcer.discard_queued()
        self.replicator.discard_unfinished()
        self._due = []
        self._scheduled = set()
        self.state.changed_services.clear()
        self.ownership.newly_owned = []

    def _schedule(self, key: BucketKey, due: Millis) -> None:
        if key not in self._scheduled:
            self._scheduled.add(key)
            heapq.heappush(self._due, (due, key))

    def _schedule_now(self, key: BucketKey) -> None:
        """Advance a bucket in this tick, even if it is scheduled for later."""
        self._scheduled.add(key)
        heapq.heappush(self._due, (self.state.now, key))

    def _announce_new_shards(self) -> None:
        """Announce every bucket of the shards that this balancer newly owns."""
        shards = self.ownership.newly_owned
        if not shards:
            return
        self.ownership.newly_owned = []
        for shard in shards:
            self.announcer.queue_claim(shard)
            for key in self.state.bucket_keys(shard):
                self._announce_bucket(key)

    def _announce_bucket(self, key: BucketKey) -> None:
        self._schedule_now(key)
        row = self.state.tables.services[key[0]]
        if row.buckets[key[1]] is None:
            return
        self.bucket_writer.raise_epoch(key)
        move = self.state.tables.moves.get(key)
        if move is None:
            return
        for record in move.records.values():
            adjust_open_flows(row, record.server, 1)
        self.replicator.queue_all(key)

    def _schedule_changed_services(self) -> None:
        """Schedule every owned bucket of services whose placement has changed."""
        changed = self.state.changed_services
        if not changed:
            return
        for service in sorted(changed):
            if service not in self.state.tables.services:
                continue
            for shard in range(N_SHARDS):
                owning_shard = self.state.owning_shard((service, shard))
                if self.ownership.has_records(owning_shard):
                    self._schedule_now((service, shard))
        changed.clear()

    def _advance_due(self) -> None:
        now = self.state.now
        while self._due and self._due[0][0] <= now:
            key = heapq.heappop(self._due)[1]
            if key not in self._scheduled:
                continue
            self._scheduled.discard(key)
            delay = self._advance(key)
            if delay is not None:
                self._schedule(key, now + delay)

    def _advance(self, key: BucketKey) -> Millis | None:
        """Advance one bucket by a step; return the delay until its next check."""
        row = self.state.tables.services.get(key[0])
        owning_shard = self.state.owning_shard(key)
        if row is None or not self.ownership.has_records(owning_shard):
            return None
        if not row.desired_servers or not self.ownership.is_owner(owning_shard):
            return CHECK_PERIOD_MILLIS
        bucket = row.buckets[key[1]]
        if bucket is None:
            bucket = self.bucket_writer.create(row, key[1])
        move = self.state.tables.moves.get(key)
        if move is not None and move.is_settling:
            return self._finish_settling(row, key[1], move)
        if not bucket.tracked:
            return self._check_settled(row, key[1], bucket)
        if move is None:
            raise InvariantViolated("owner of a tracked bucket has no records")
        return self._advance_tracked(row, key[1], bucket, move)

    def _check_settled(
        self, row: ServiceRow, shard: int, bucket: Bucket
    ) -> Millis | None:
        if bucket.base != row.desired_servers[shard] or self._should_track(row):
            is_planned = bucket.base not in row.failed_servers
            self.bucket_writer.begin_move(row, shard, is_planned=is_planned)
            return CHECK_PERIOD_MILLIS
        return SLOW_CHECK_PERIOD_MILLIS if row.spec.policy is Policy.BALANCE else None

    def _advance_tracked(
        self, row: ServiceRow, shard: int, bucket: Bucket, move: BucketMove
    ) -> Millis:
        if move.ready_at is None:
            self._make_ready(row, shard, move)
            return CHECK_PERIOD_MILLIS
        if not self._may_settle(row, bucket, move):
            return SLOW_CHECK_PERIOD_MILLIS
        pins = self.bucket_writer.settle(row, shard, move)
        self.activity.mark_pins_used((row.spec.service, shard), pins)
        return CHECK_PERIOD_MILLIS

    def _should_track(self, row: ServiceRow) -> bool:
        if row.spec.policy is not Policy.BALANCE:
            return False
        if row.tracking_stopped_at is None:
            return True
        return self.state.now - row.tracking_stopped_at >= RETRACK_PERIOD_MILLIS

    def _make_ready(self, row: ServiceRow, shard: int, move: BucketMove) -> None:
        if not self.announcer.is_acknowledged(move):
            return
        age = self.state.now - move.started_at
        if move.is_planned and age < self.state.settings.old_server_period_millis:
            return
        move.ready_at = self.state.now
        self.placer.release_held_openings(row, shard, move)

    def _may_settle(self, row: ServiceRow, bucket: Bucket, move: BucketMove) -> bool:
        if row.spec.policy is Policy.BALANCE:
            limit = self.state.settings.max_tracked_openings_per_second
            if self.placer.opening_rate > limit:
                row.tracking_stopped_at = self.state.now
            elif bucket.base in row.accepting_servers:
                return False
        if self.state.now - move.ready_at < row.spec.idle_limit_millis:
            return False
        if len(move.records) > self.state.settings.max_pins:
            return False
        return not any(record.is_copying for record in move.records.values())

    def _finish_settling(self, row: ServiceRow, shard: int, move: BucketMove) -> Millis:
        """Drop the records once every balancer has the settled bucket."""
        if self.announcer.is_acknowledged(move):
            self.bucket_writer.finish_move(row, shard)
            self.placer.release_held_openings(row, shard, move)
        return CHECK_PERIOD_MILLIS
