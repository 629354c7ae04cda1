"""State shared by the components of one balancer's decision core."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from stoattray_core._core_settings import CoreSettings
from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import N_SHARDS, Address, MemberId, Millis, ServiceId
from stoattray_core._pending_requests import PendingRequests
from stoattray_core._tables import BucketKey, MemberRow, MemberStatus, Tables
from stoattray_core.messages import Message
from stoattray_core.outputs import LogEvent, Output, Reject, Send


@dataclass(slots=True)
class State:
    """Tables, time, randomness and outputs of one balancer."""

    own_id: MemberId
    settings: CoreSettings
    random: Random
    now: Millis
    seeds: tuple[Address, ...]
    tables: Tables = field(default_factory=Tables)
    pending_outputs: list[Output] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    requests: PendingRequests = field(default_factory=PendingRequests)
    membership_version: int = 0
    shards_version: int = 0
    dirty_shards: set[int] = field(default_factory=lambda: set(range(N_SHARDS)))
    changed_services: set[ServiceId] = field(default_factory=set)

    @property
    def own_row(self) -> MemberRow:
        """Return this balancer's own row."""
        return self.tables.members[self.own_id]

    def mark_shard_changed(self, shard: int) -> None:
        """Mark a shard for re-evaluation after a change of owner or epoch."""
        self.shards_version += 1
        self.dirty_shards.add(shard)

    def owning_shard(self, key: BucketKey) -> int:
        """Return the shard whose owner decides for a bucket."""
        row = self.tables.services.get(key[0])
        return key[1] if row is None or row.home_shard is None else row.home_shard

    def bucket_keys(self, shard: int) -> Iterator[BucketKey]:
        """Yield the buckets for which a shard's owner decides."""
        for service, row in self.tables.services.items():
            if row.home_shard is None:
                yield service, shard
            elif row.home_shard == shard:
                for number in range(N_SHARDS):
                    yield service, number

    def bucket_epoch(self, key: BucketKey) -> int:
        """Return the current epoch of the shard that owns a bucket."""
        return self.tables.shards[self.owning_shard(key)].epoch

    @property
    def is_ready(self) -> bool:
        """Return whether this balancer may decide about flows."""
        return self.own_row.status in (MemberStatus.LIVE, MemberStatus.LEAVING)

    def queue_output(self, output: Output) -> None:
        """Queue an output."""
        self.pending_outputs.append(output)

    def send(self, address: Address, message: Message) -> None:
        """Queue a message for another balancer."""
        self.pending_outputs.append(Send(address, message))

    def log(self, name: str, **fields: str | int | float | bool) -> None:
        """Queue a log event."""
        self.pending_outputs.append(LogEvent(name, fields))

    def refuse(self, kind: ErrorKind, data: bytes) -> None:
        """Count a refused packet and queue the answer to it."""
        self.counters[kind] += 1
        self.pending_outputs.append(Reject(kind, data))

    def other_members(self) -> list[MemberRow]:
        """Return every other balancer that may still forward packets."""
        return [
            row for row in self.tables.present_members() if row.member != self.own_id
        ]
