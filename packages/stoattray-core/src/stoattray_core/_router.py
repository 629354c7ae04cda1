"""Routing of single packets.

The fast path is one table look-up for settled buckets without pinned flows. All
other packets take the slow path, :meth:`Router.on_packet`.
"""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from stoattray_core._errors import ErrorKind
from stoattray_core._flow_placer import FlowPlacer
from stoattray_core._hashing import shard_of
from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    FlowId,
    MemberId,
    ServerId,
    server_address,
)
from stoattray_core._packet import (
    FRAGMENT_MASK,
    HEADER_FIELDS,
    IPV4_VERSION_AND_IHL,
    MAX_PACKET_BYTES,
    TCP,
    UDP,
    Packet,
    check_header,
    read_packet,
)
from stoattray_core._sentinel import Refused
from stoattray_core._shard_ownership import HeldPacket, ShardOwnership
from stoattray_core._state import State
from stoattray_core._tables import Bucket, ServiceRow
from stoattray_core.outputs import Forward, Relay

MIN_TCP_PACKET_BYTES = 40


@dataclass(slots=True)
class Router:
    """Chooses the destination of each packet."""

    state: State
    ownership: ShardOwnership
    placer: FlowPlacer

    def fast_path_address(self, data: bytes) -> Address | None:
        """Return the backend server's address if the fast path applies.

        Parameters
        ----------
        data : bytes
            One IPv4 packet.

        Returns
        -------
        Address or None
            None if the packet has to go through :meth:`on_packet`.
        """
        size = len(data)
        if size < MIN_TCP_PACKET_BYTES or size > MAX_PACKET_BYTES:
            return None
        version, length, fragment, protocol, _, destination, _, port = (
            HEADER_FIELDS.unpack_from(data)
        )
        if (
            version != IPV4_VERSION_AND_IHL
            or length != size
            or fragment & FRAGMENT_MASK
            or protocol != TCP
            or data[32] < 0x50
            or 20 + (data[32] >> 4) * 4 > size
        ):
            return None
        row = self.state.tables.services_by_key.get(
            destination << 24 | port << 8 | protocol
        )
        if row is None:
            return None
        return row.fast_path_addresses[
            xxh3_64_intdigest(data[12:16] + data[20:22]) % N_SHARDS
        ]

    def on_packet(
        self, data: bytes, hops: int = 0, ingress: MemberId | None = None
    ) -> None:
        """Forward, relay, hold or refuse one packet.

        Parameters
        ----------
        data : bytes
            One IPv4 packet.
        hops : int
            Number of times that the packet was already relayed.
        ingress : MemberId or None
            Balancer that relayed the packet; None if the fabric delivered it.
        """
        if not self.state.is_ready:
            self._relay_to_live_member(data, hops)
            return
        packet = read_packet(data)
        if isinstance(packet, Refused):
            self.state.refuse(packet.kind, data)
            return
        row = self.state.tables.services_by_key.get(packet.service_key)
        if row is None:
            self.state.refuse(ErrorKind.UNKNOWN_ADDRESS, data)
            return
        self._route(packet, row, hops, ingress)

    def route_released_packets(self) -> None:
        """Route the packets that were held during a change of owner."""
        for held in self.ownership.take_released_packets():
            self.on_packet(held.data, held.hops, held.ingress)

    def _route(
        self, packet: Packet, row: ServiceRow, hops: int, ingress: MemberId | None
    ) -> None:
        if packet.is_opening and row.is_evacuated:
            self.state.counters["opening_without_server_by_evacuation"] += 1
            self.state.refuse(ErrorKind.NO_BACKEND_SERVER, packet.data)
            return
        shard = shard_of(packet.flow)
        bucket = row.buckets[shard]
        if bucket is not None:
            if row.spec.protocol == UDP:
                self._mark_used(row, shard, bucket, packet.flow)
            server = self._known_server(packet, row, shard, bucket)
            if server is not None:
                self._forward(packet, row, server)
                return
        owning_shard = shard if row.home_shard is None else row.home_shard
        if self._may_decide(packet, owning_shard):
            self._decide(packet, row, shard, ingress)
        elif self.ownership.is_changing(owning_shard):
            held = HeldPacket(
                packet.data, hops, ingress, packet.is_opening, self.state.now
            )
            self.ownership.hold_packet(owning_shard, held)
        else:
            self._relay(packet.data, owning_shard, hops)

    def _known_server(
        self, packet: Packet, row: ServiceRow, shard: int, bucket: Bucket
    ) -> ServerId | None:
        """Return the flow's backend server if it is known without the owner."""
        flow = packet.flow
        pinned = bucket.pins.get(flow)
        if pinned is not None:
            if packet.is_opening and pinned not in row.accepting_servers:
                return None
            self._mark_used(row, shard, bucket, flow)
            return pinned
        if not bucket.tracked:
            return self._settled_server(packet, row, shard, bucket)
        if packet.is_opening:
            return None
        hinted = bucket.hints.get(flow)
        if hinted is not None:
            self._mark_used(row, shard, bucket, flow)
            if packet.is_ending:
                del bucket.hints[flow]
                return None
        return hinted

    def _settled_server(
        self, packet: Packet, row: ServiceRow, shard: int, bucket: Bucket
    ) -> ServerId | None:
        if (row.spec.service, shard) in self.state.tables.moves:
            return None
        if bucket.base in row.failed_servers and packet.is_opening:
            return None
        return bucket.base

    def _may_decide(self, packet: Packet, shard: int) -> bool:
        if packet.is_opening:
            return self.ownership.is_owner(shard)
        return self.ownership.has_records(shard)

    def _mark_used(
        self, row: ServiceRow, shard: int, bucket: Bucket, flow: FlowId
    ) -> None:
        bucket.recent_flows.add(flow)
        self.state.tables.recently_used_buckets.add((row.spec.service, shard))

    def _decide(
        self, packet: Packet, row: ServiceRow, shard: int, ingress: MemberId | None
    ) -> None:
        if packet.is_opening or self._opens_without_syn(packet, row, shard):
            kind = self.placer.on_opening(row, shard, packet.flow, packet.data)
            if kind is not None:
                self.state.refuse(kind, packet.data)
            return
        if row.buckets[shard] is None and not row.desired_servers:
            self.state.refuse(ErrorKind.NO_BACKEND_SERVER, packet.data)
            return
        server = self.placer.on_established(
            row, shard, packet.flow, packet.data, ingress, packet.is_ending
        )
        if server is not None:
            self._forward(packet, row, server)

    def _opens_without_syn(self, packet: Packet, row: ServiceRow, shard: int) -> bool:
        """Return whether a UDP packet opens a flow: the owner has no record of it."""
        if row.spec.protocol != UDP:
            return False
        move = self.state.tables.moves.get((row.spec.service, shard))
        if move is None or move.ready_at is None:
            return False
        return packet.flow not in move.records

    def _forward(self, packet: Packet, row: ServiceRow, server: ServerId) -> None:
        if (
            server in row.failed_servers
            and not packet.is_opening
            and self._is_confirmed_dead(server)
        ):
            self.state.refuse(ErrorKind.BACKEND_SERVER_DEAD, packet.data)
            return
        self.state.queue_output(Forward(server_address(server), packet.data))

    def _is_confirmed_dead(self, server: ServerId) -> bool:
        """Return whether the server has been dead long enough to reset its flows.

        The health verdict known here may just have been withdrawn, and a reset
        would then break a working flow.
        """
        since = self.state.tables.failed_since.get(server, self.state.now)
        return self.state.now - since >= self.state.settings.reset_delay_millis

    def _relay(self, data: bytes, shard: int, hops: int) -> None:
        if hops >= self.state.settings.max_hops:
            self.state.refuse(ErrorKind.HOP_LIMIT, data)
            return
        owner = self.ownership.relay_target(shard)
        if owner is None:
            self.state.refuse(ErrorKind.NO_OWNER, data)
            return
        self.state.counters["packets_relayed"] += 1
        self.state.queue_output(Relay(owner.relay_address, hops + 1, data))

    def _relay_to_live_member(self, data: bytes, hops: int) -> None:
        """Relay a packet to a live balancer while this one is not ready."""
        if check_header(data) is not None or hops >= self.state.settings.max_hops:
            self.state.refuse(ErrorKind.NOT_READY, data)
            return
        live = [
            row
            for row in self.state.tables.live_members()
            if row.member != self.state.own_id
        ]
        if not live:
            self.state.refuse(ErrorKind.NOT_READY, data)
            return
        chosen = live[self.state.now % len(live)]
        self.state.counters["packets_relayed"] += 1
        self.state.queue_output(Relay(chosen.relay_address, hops + 1, data))
