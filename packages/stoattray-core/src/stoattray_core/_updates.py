"""The receiving side of bucket announcements."""

from dataclasses import dataclass

from stoattray_core._buckets import apply_buckets, apply_shards, describe_shard
from stoattray_core._identifiers import N_SHARDS, Address, ServiceId
from stoattray_core._packet import UDP
from stoattray_core._state import State
from stoattray_core.messages import BucketUpdate, Done, FlowGroup


@dataclass(slots=True)
class BucketUpdates:
    """Takes in owners' announcements and acknowledges them."""

    state: State

    def on_update(self, update: BucketUpdate, address: Address) -> None:
        """Take in buckets, or refuse them when a later owner is known."""
        if not apply_shards(self.state, update.shards):
            shards = [
                describe_shard(self.state, item.shard)
                for item in update.shards
                if 0 <= item.shard < N_SHARDS
            ]
            self.state.send(address, Done(update.request, False, shards))
            return
        used = self._used_flows(update)
        apply_buckets(self.state, update.buckets, update.pins)
        self.state.send(address, Done(update.request, True, [], used))

    def _used_flows(self, update: BucketUpdate) -> list[FlowGroup]:
        """Return recent UDP flows of the buckets that become tracked."""
        groups: list[FlowGroup] = []
        for item in update.buckets:
            row = self.state.tables.services.get(ServiceId(item.service_name))
            if row is None or row.spec.protocol != UDP or not item.tracked:
                continue
            bucket = row.buckets[item.shard]
            flows = bucket.used | bucket.used_before if bucket is not None else set()
            if flows:
                packed = b"".join(sorted(flows))
                groups.append(FlowGroup(item.service_name, item.shard, "", packed))
        return groups
