"""Placement of flows by the owner of their shard."""

from dataclasses import dataclass

from stoattray_core._bucket_writer import BucketWriter
from stoattray_core._errors import ErrorKind, InvariantViolated
from stoattray_core._flow_activity import FlowActivity
from stoattray_core._identifiers import (
    FlowId,
    MemberId,
    Millis,
    ServerId,
    server_address,
)
from stoattray_core._record_replicator import RecordReplicator
from stoattray_core._server_selection import adjust_open_flows, select_server
from stoattray_core._state import State
from stoattray_core._tables import (
    Bucket,
    BucketMove,
    FlowRecord,
    HeldOpening,
    ServiceRow,
)
from stoattray_core.configuration import Policy
from stoattray_core.outputs import Forward

RATE_PERIOD_MILLIS = 1_000
MILLIS_PER_SECOND = 1_000


@dataclass(slots=True)
class FlowPlacer:
    """Assigns backend servers to new flows and looks up those of open flows."""

    state: State
    bucket_writer: BucketWriter
    replicator: RecordReplicator
    activity: FlowActivity
    opening_rate: float = 0.0
    _n_opened: int = 0
    _rate_measured_at: Millis = 0

    def tick(self) -> None:
        """Measure the rate of opening packets."""
        elapsed = self.state.now - self._rate_measured_at
        if elapsed >= RATE_PERIOD_MILLIS:
            self.opening_rate = self._n_opened * MILLIS_PER_SECOND / elapsed
            self._n_opened = 0
            self._rate_measured_at = self.state.now

    def on_opening(
        self, row: ServiceRow, shard: int, flow: FlowId, data: bytes
    ) -> ErrorKind | None:
        """Place a new flow; return the error kind if it is refused, else None."""
        if not row.desired_servers:
            return ErrorKind.NO_BACKEND_SERVER
        bucket = row.buckets[shard] or self.bucket_writer.create(row, shard)
        pinned = bucket.pins.get(flow)
        if pinned is not None and pinned not in row.accepting_servers:
            return ErrorKind.FLOW_REUSED
        move = self.state.tables.moves.get((row.spec.service, shard))
        if move is None:
            self._open_settled(row, shard, bucket, data)
            return None
        if flow in move.records:
            return self._open_recorded(row, move, flow, data)
        self._n_opened += 1
        if move.ready_at is None or move.is_settling:
            self._open_before_ready(row, bucket, move, flow, data)
        else:
            self._place(row, shard, move, flow, data)
        return None

    def on_established(
        self,
        row: ServiceRow,
        shard: int,
        flow: FlowId,
        data: bytes,
        ingress: MemberId | None,
        is_ending: bool,
    ) -> ServerId | None:
        """Return the backend server of an open flow, or None if the packet is held."""
        bucket = row.buckets[shard] or self.bucket_writer.create(row, shard)
        key = (row.spec.service, shard)
        move = self.state.tables.moves.get(key)
        if move is None:
            return bucket.base
        record = move.records.get(flow)
        if record is None:
            record = FlowRecord(bucket.base, self.state.now)
            move.records[flow] = record
            adjust_open_flows(row, record.server, 1)
        record.seen_at = self.state.now
        if is_ending and not record.is_ended:
            record.is_ended = True
            adjust_open_flows(row, record.server, -1)
        if ingress is not None:
            record.n_relayed += 1
            if record.n_relayed % self.state.settings.hint_after_packets == 0:
                self.activity.add_hint(key, flow, record, ingress)
        if record.is_copying:
            self._hold_packet(move.held_packets_by_flow.setdefault(flow, []), data)
            return None
        return record.server

    def release_held_openings(
        self, row: ServiceRow, shard: int, move: BucketMove
    ) -> None:
        """Place the opening packets that were held while the bucket changed."""
        held = move.held_openings
        move.held_openings = []
        oldest = self.state.now - self.state.settings.max_hold_millis
        for opening in held:
            data = opening.data
            if opening.held_at < oldest:
                self.state.refuse(ErrorKind.HELD_TOO_LONG, data)
                continue
            flow = FlowId(data[12:16] + data[20:22])
            kind = self.on_opening(row, shard, flow, data)
            if kind is not None:
                self.state.refuse(kind, data)

    def _open_settled(
        self, row: ServiceRow, shard: int, bucket: Bucket, data: bytes
    ) -> None:
        """Open a flow at the base, or begin a move if the base is dead."""
        if bucket.base not in row.failed_servers:
            self.state.queue_output(Forward(server_address(bucket.base), data))
            return
        move = self.bucket_writer.begin_move(row, shard, is_planned=False)
        self._hold_opening(move, data)

    def _open_recorded(
        self, row: ServiceRow, move: BucketMove, flow: FlowId, data: bytes
    ) -> ErrorKind | None:
        """Forward a repeated opening packet; refuse reuse of an ended flow's ports."""
        record = move.records[flow]
        if record.is_ended and record.server not in row.accepting_servers:
            return ErrorKind.FLOW_REUSED
        record.seen_at = self.state.now
        if record.is_ended:
            record.is_ended = False
            adjust_open_flows(row, record.server, 1)
        if record.is_copying:
            self._hold_packet(move.held_packets_by_flow.setdefault(flow, []), data)
        else:
            self.state.queue_output(Forward(server_address(record.server), data))
        return None

    def _open_before_ready(
        self,
        row: ServiceRow,
        bucket: Bucket,
        move: BucketMove,
        flow: FlowId,
        data: bytes,
    ) -> None:
        """Open a flow at the base if others may still do so, else hold the packet."""
        is_base_usable = move.is_planned and not move.is_settling
        if bucket.base in row.failed_servers or not is_base_usable:
            self._hold_opening(move, data)
            return
        self._record(row, move, flow, bucket.base)
        self.state.queue_output(Forward(server_address(bucket.base), data))

    def _place(
        self, row: ServiceRow, shard: int, move: BucketMove, flow: FlowId, data: bytes
    ) -> None:
        bucket = row.buckets[shard]
        server = row.desired_servers[shard]
        if row.spec.policy is Policy.BALANCE:
            server = select_server(self.state, row, server)
        if server not in row.accepting_servers:
            raise InvariantViolated(
                "new flow placed on a server that refuses new flows"
            )
        record = self._record(row, move, flow, server)
        if server == bucket.base:
            self.state.queue_output(Forward(server_address(server), data))
            return
        record.is_copying = True
        self._hold_packet(move.held_packets_by_flow.setdefault(flow, []), data)
        self.replicator.queue((row.spec.service, shard), [flow])

    def _record(
        self, row: ServiceRow, move: BucketMove, flow: FlowId, server: ServerId
    ) -> FlowRecord:
        record = FlowRecord(server, self.state.now)
        move.records[flow] = record
        adjust_open_flows(row, server, 1)
        return record

    def _hold_opening(self, move: BucketMove, data: bytes) -> None:
        if len(move.held_openings) < self.state.settings.max_held_packets:
            move.held_openings.append(HeldOpening(data, self.state.now))
        else:
            self.state.refuse(ErrorKind.QUEUE_FULL, data)

    def _hold_packet(self, held: list[bytes], data: bytes) -> None:
        if len(held) < self.state.settings.max_held_packets:
            held.append(data)
        else:
            self.state.refuse(ErrorKind.QUEUE_FULL, data)
