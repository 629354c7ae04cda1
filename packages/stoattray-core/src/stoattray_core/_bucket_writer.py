"""Changes that an owner makes to its buckets."""

from dataclasses import dataclass

from stoattray_core._bucket_announcer import BucketAnnouncer
from stoattray_core._bucket_table import install_bucket
from stoattray_core._identifiers import FlowId, ServerId
from stoattray_core._server_selection import adjust_open_flows
from stoattray_core._state import State
from stoattray_core._tables import Bucket, BucketKey, BucketMove, ServiceRow


@dataclass(slots=True)
class BucketWriter:
    """Changes buckets that this balancer owns and queues their announcement."""

    state: State
    announcer: BucketAnnouncer

    def create(self, row: ServiceRow, shard: int) -> Bucket:
        """Create a settled bucket where no balancer has one yet."""
        epoch = self.state.bucket_epoch((row.spec.service, shard))
        bucket = Bucket(epoch, 1, tracked=False, base=row.desired_servers[shard])
        self._install(row, shard, bucket)
        return bucket

    def begin_move(
        self, row: ServiceRow, shard: int, *, is_planned: bool
    ) -> BucketMove:
        """Make a settled bucket tracked."""
        current = row.buckets[shard]
        epoch = self.state.bucket_epoch((row.spec.service, shard))
        move = BucketMove(self.state.now, is_planned)
        self.state.tables.moves[(row.spec.service, shard)] = move
        bucket = Bucket(epoch, current.version + 1, True, current.base, current.pins)
        bucket.recent_flows = current.recent_flows
        bucket.previous_flows = current.previous_flows
        self._install(row, shard, bucket)
        return move

    def settle(
        self, row: ServiceRow, shard: int, move: BucketMove
    ) -> dict[FlowId, ServerId]:
        """Make the desired server the base and pin the flows that are elsewhere.

        Returns
        -------
        dict
            The pinned flows.
        """
        current = row.buckets[shard]
        base = row.desired_servers[shard]
        pins = {
            flow: server
            for flow, server in current.pins.items()
            if flow not in move.records and server != base
        }
        for flow, record in move.records.items():
            if record.server != base:
                pins[flow] = record.server
        epoch = self.state.bucket_epoch((row.spec.service, shard))
        move.is_settling = True
        bucket = Bucket(epoch, current.version + 1, False, base, pins)
        self._install(row, shard, bucket)
        return pins

    def finish_move(self, row: ServiceRow, shard: int) -> BucketMove:
        """Drop the records of a bucket that is settled on all balancers."""
        move = self.state.tables.moves.pop((row.spec.service, shard))
        for record in move.records.values():
            if not record.is_ended:
                adjust_open_flows(row, record.server, -1)
        bucket = row.buckets[shard]
        install_bucket(self.state, row, shard, bucket)
        return move

    def replace_pins(
        self, row: ServiceRow, shard: int, pins: dict[FlowId, ServerId]
    ) -> None:
        """Replace the pins of a bucket and announce it."""
        current = row.buckets[shard]
        epoch = self.state.bucket_epoch((row.spec.service, shard))
        bucket = Bucket(epoch, current.version + 1, current.tracked, current.base, pins)
        bucket.hints = current.hints
        bucket.recent_flows = current.recent_flows
        bucket.previous_flows = current.previous_flows
        self._install(row, shard, bucket)

    def raise_epoch(self, key: BucketKey) -> None:
        """Announce a bucket under the epoch of its new owner."""
        row = self.state.tables.services[key[0]]
        bucket = row.buckets[key[1]]
        bucket.epoch = self.state.bucket_epoch(key)
        self.state.dirty_shards.add(self.state.owning_shard(key))
        self.announcer.queue_bucket(key)

    def _install(self, row: ServiceRow, shard: int, bucket: Bucket) -> None:
        install_bucket(self.state, row, shard, bucket)
        self.announcer.queue_bucket((row.spec.service, shard))
