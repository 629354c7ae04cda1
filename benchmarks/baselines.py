"""Simpler strategies of flow placement, with the interface of the core.

All balancers of a baseline share their members and configuration, without cost or
delay, so that each broken flow is due to the placement strategy alone.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from stoattray_core import Address, CoreSettings, Identity, MemberId, MemberStatus
from stoattray_core._hashing import maglev_table, rendezvous_order, shard_of
from stoattray_core._identifiers import FlowId, Millis, ServerId, server_address
from stoattray_core._packet import Packet, read_packet
from stoattray_core.configuration import ConfigEntry, ServerState, ServiceSpec
from stoattray_core.messages import Message
from stoattray_core.outputs import Forward, Output, Relay
from stoattray_core.resources import load_stored_service


@dataclass(slots=True)
class SharedState:
    """Members and configuration that all balancers of a baseline share."""

    members: list[MemberId] = field(default_factory=list)
    specs: dict[int, ServiceSpec] = field(default_factory=dict)
    maglev_tables: dict[int, list[ServerId]] = field(default_factory=dict)


class HashBalancer:
    """Sends each packet to the server that the current Maglev table gives.

    Parameters
    ----------
    identity : Identity
        Identity of this balancer.
    shared : SharedState
        Members and configuration of all balancers.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        shared: SharedState,
        seeds: tuple[Address, ...],
        settings: CoreSettings,
        random: Random,
        now: Millis,
    ) -> None:
        self.own_id = identity.member
        self.shared = shared
        self.status = MemberStatus.LIVE
        self.is_ready = True
        self.counters: Counter[str] = Counter()
        self.pending_outputs: list[Output] = []
        if self.own_id not in shared.members:
            shared.members.append(self.own_id)

    def fast_path_address(self, data: bytes) -> None:
        """Return no address, so that :meth:`on_packet` handles every packet."""

    def on_config(self, after: int, upto: int, entries: list[ConfigEntry]) -> None:
        """Apply declared services."""
        for entry in entries:
            service = load_stored_service(entry.value or "")
            if service is None:
                continue
            spec = service.to_spec()
            active_servers = [
                item.server for item in spec.servers if item.state is ServerState.ACTIVE
            ]
            self.shared.specs[spec.key] = spec
            self.shared.maglev_tables[spec.key] = maglev_table(active_servers)

    def on_packet(self, data: bytes) -> None:
        """Forward one packet."""
        packet = read_packet(data)
        if isinstance(packet, Packet):
            self._forward(self._hashed_server(packet), data)

    def on_relayed(self, data: bytes, hops: int, sender: Address) -> None:
        """Forward one packet that another balancer relayed."""
        self.on_packet(data)

    def on_message(self, message: Message, sender: MemberId, address: Address) -> None:
        """Do nothing; baselines exchange no messages."""

    def tick(self, now: Millis) -> None:
        """Do nothing; baselines have no timers."""

    def tick_after_pause(self, now: Millis) -> None:
        """Do nothing; baselines do not detect pauses."""

    def flush(self) -> None:
        """Do nothing; baselines batch nothing."""

    def leave(self) -> None:
        """Leave the group."""
        self.shared.members.remove(self.own_id)

    def take_outputs(self) -> list[Output]:
        """Return and clear the pending outputs."""
        outputs = self.pending_outputs
        self.pending_outputs = []
        return outputs

    def _hashed_server(self, packet: Packet) -> ServerId:
        return self.shared.maglev_tables[packet.service_key][shard_of(packet.flow)]

    def _forward(self, server: ServerId, data: bytes) -> None:
        self.pending_outputs.append(Forward(server_address(server), data))


class FlowTableBalancer(HashBalancer):
    """Hash placement with a local flow table, so that known flows keep their server."""

    def __init__(self, identity: Identity, **options: object) -> None:
        super().__init__(identity, **options)
        self.servers_by_flow: dict[tuple[int, FlowId], ServerId] = {}

    def on_packet(self, data: bytes) -> None:
        """Forward one packet and store the server of its flow."""
        packet = read_packet(data)
        if isinstance(packet, Packet):
            key = (packet.service_key, packet.flow)
            server = self.servers_by_flow.setdefault(key, self._hashed_server(packet))
            self._forward(server, data)


class FlowOwnerBalancer(FlowTableBalancer):
    """Gives each flow an owner among the members, to which the others relay."""

    def on_packet(self, data: bytes) -> None:
        """Relay a packet to its owner, or forward it as the owner."""
        packet = read_packet(data)
        if not isinstance(packet, Packet):
            return
        owner = rendezvous_order(shard_of(packet.flow), self.shared.members)[0]
        if owner == self.own_id:
            super().on_packet(data)
        else:
            self.pending_outputs.append(Relay((owner, 0), 1, data))

    def on_relayed(self, data: bytes, hops: int, sender: Address) -> None:
        """Forward a packet that was relayed to this balancer as its owner."""
        super().on_packet(data)
