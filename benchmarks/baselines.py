"""Simpler ways to place flows, behind the interface of the core.

They share one oracle for members and configuration, which costs them nothing
and never lags: what they break, they break by their placement alone.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from stoattray_core import Address, CoreSettings, Identity, MemberId, MemberStatus
from stoattray_core._hashing import placement_table, rank_members, shard_of
from stoattray_core._identifiers import FlowId, Millis, ServerId, server_address
from stoattray_core._packet import Packet, read_packet
from stoattray_core.configuration import ConfigEntry, ServerState, ServiceSpec
from stoattray_core.messages import Message
from stoattray_core.outputs import Forward, Output, Relay
from stoattray_core.resources import read_service


@dataclass(slots=True)
class Oracle:
    """What all balancers of a baseline know at once."""

    members: list[MemberId] = field(default_factory=list)
    specs: dict[int, ServiceSpec] = field(default_factory=dict)
    tables: dict[int, list[ServerId]] = field(default_factory=dict)


class HashOnly:
    """Each packet goes where the placement table of the moment says.

    Parameters
    ----------
    identity : Identity
        Who this balancer is.
    oracle : Oracle
        Shared knowledge.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        oracle: Oracle,
        seeds: tuple[Address, ...],
        settings: CoreSettings,
        random: Random,
        now: Millis,
    ) -> None:
        self.me = identity.member
        self.oracle = oracle
        self.status = MemberStatus.LIVE
        self.is_ready = True
        self.counters: Counter[str] = Counter()
        self.outbox: list[Output] = []
        if self.me not in oracle.members:
            oracle.members.append(self.me)

    def fast_address(self, data: bytes) -> None:
        """Leave every packet to :meth:`on_packet`."""

    def on_config(self, after: int, upto: int, entries: list[ConfigEntry]) -> None:
        """Take in declared services."""
        for entry in entries:
            service = read_service(entry.value or "")
            if service is None:
                continue
            spec = service.to_spec()
            active = [
                item.server for item in spec.servers if item.state is ServerState.ACTIVE
            ]
            self.oracle.specs[spec.key] = spec
            self.oracle.tables[spec.key] = placement_table(active)

    def on_packet(self, data: bytes) -> None:
        """Forward one packet."""
        packet = read_packet(data)
        if isinstance(packet, Packet):
            self._forward(self._hashed(packet), data)

    def on_relayed(self, data: bytes, hops: int, sender: Address) -> None:
        """Forward one packet of another balancer."""
        self.on_packet(data)

    def on_message(self, message: Message, sender: MemberId, address: Address) -> None:
        """Baselines exchange no messages."""

    def tick(self, now: Millis) -> None:
        """Baselines do nothing between packets."""

    def notice_time(self, now: Millis) -> None:
        """Baselines do not notice pauses."""

    def flush(self) -> None:
        """Baselines gather nothing."""

    def leave(self) -> None:
        """Leave the group."""
        self.oracle.members.remove(self.me)

    def take_outputs(self) -> list[Output]:
        """Return and forget what is to be done."""
        outputs = self.outbox
        self.outbox = []
        return outputs

    def _hashed(self, packet: Packet) -> ServerId:
        return self.oracle.tables[packet.service_key][shard_of(packet.flow)]

    def _forward(self, server: ServerId, data: bytes) -> None:
        self.outbox.append(Forward(server_address(server), data))


class OwnTable(HashOnly):
    """Hashing, and each balancer keeps to what it decided before."""

    def __init__(self, identity: Identity, **others: object) -> None:
        super().__init__(identity, **others)
        self.flows: dict[tuple[int, FlowId], ServerId] = {}

    def on_packet(self, data: bytes) -> None:
        """Forward one packet and remember where."""
        packet = read_packet(data)
        if isinstance(packet, Packet):
            key = (packet.service_key, packet.flow)
            server = self.flows.setdefault(key, self._hashed(packet))
            self._forward(server, data)


class FlowOwner(OwnTable):
    """Every flow has an owner among the members; the others relay to it."""

    def on_packet(self, data: bytes) -> None:
        """Relay to the owner, or decide as the owner."""
        packet = read_packet(data)
        if not isinstance(packet, Packet):
            return
        owner = rank_members(shard_of(packet.flow), self.oracle.members)[0]
        if owner == self.me:
            super().on_packet(data)
        else:
            self.outbox.append(Relay((owner, 0), 1, data))

    def on_relayed(self, data: bytes, hops: int, sender: Address) -> None:
        """Decide as the owner that the sender sees."""
        super().on_packet(data)
