"""The receiving side of bucket announcements."""

from dataclasses import dataclass

from stoattray_core._bucket_table import apply_buckets, apply_claims
from stoattray_core._identifiers import Address, ServiceId
from stoattray_core._packet import UDP
from stoattray_core._state import State
from stoattray_core.messages import BucketState, BucketUpdate, Done, FlowGroup


@dataclass(slots=True)
class BucketUpdates:
    """Applies and acknowledges the bucket announcements of owners."""

    state: State

    def on_update(self, update: BucketUpdate, address: Address) -> None:
        """Apply the buckets of each shard for which no later claim is known."""
        later = apply_claims(self.state, update.shards)
        refused = {item.shard for item in later}
        buckets = [
            item for item in update.buckets if self._owning_shard(item) not in refused
        ]
        used = self._used_flows(update)
        apply_buckets(self.state, buckets, update.pins)
        self.state.send(address, Done(update.request, True, later, used))

    def _owning_shard(self, item: BucketState) -> int:
        return self.state.owning_shard((ServiceId(item.service_name), item.shard))

    def _used_flows(self, update: BucketUpdate) -> list[FlowGroup]:
        """Return the recent UDP flows of buckets that become tracked."""
        groups: list[FlowGroup] = []
        for item in update.buckets:
            row = self.state.tables.services.get(ServiceId(item.service_name))
            if row is None or row.spec.protocol != UDP or not item.tracked:
                continue
            bucket = row.buckets[item.shard]
            flows = (
                bucket.recent_flows | bucket.previous_flows
                if bucket is not None
                else set()
            )
            if flows:
                packed = b"".join(sorted(flows))
                groups.append(FlowGroup(item.service_name, item.shard, "", packed))
        return groups
