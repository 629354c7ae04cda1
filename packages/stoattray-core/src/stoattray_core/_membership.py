"""Gossip membership: pings, indirect pings and dissemination of updates.

The failure detector follows SWIM (Das et al., DSN 2002): each period a
balancer pings one other. Without an answer it asks a few others to ping on its
behalf, and after the suspicion timeout it declares the target dead. Membership
updates are piggybacked on pings and acknowledgements.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from stoattray_core._bucket_table import convert_records_to_copies, reset_bucket_epochs
from stoattray_core._identifiers import Address, MemberId, Millis
from stoattray_core._member_messages import member_message, updates_about_sender
from stoattray_core._state import State
from stoattray_core._tables import MemberRow, MemberStatus
from stoattray_core.messages import (
    Ack,
    Evicted,
    Join,
    MemberState,
    Message,
    Ping,
    PingRequest,
)

MAX_UPDATES_PER_MESSAGE = 8
N_INDIRECT_PINGS = 2
RETRANSMIT_FACTOR = 3
REDISCOVERY_PERIOD_MILLIS = 2_000
N_REDISCOVERY_PINGS = 4
DEAD_RETENTION_MILLIS = 7_200_000
MAX_FORMER_ADDRESSES = 64


@dataclass(slots=True)
class _PendingPing:
    target: MemberId
    sent_at: Millis
    is_indirect_requested: bool = False


@dataclass(slots=True)
class _ProxiedPing:
    sequence: int
    address: Address
    sent_at: Millis


@dataclass(slots=True)
class Membership:
    """Detects dead balancers and disseminates membership updates."""

    state: State
    digest: Callable[[], int]
    _sequence: int = 0
    _pending_pings: dict[int, _PendingPing] = field(default_factory=dict)
    _proxied_pings: dict[int, _ProxiedPing] = field(default_factory=dict)
    _ping_order: list[MemberId] = field(default_factory=list)
    _n_sends_left: dict[MemberId, int] = field(default_factory=dict)
    _suspected_members: set[MemberId] = field(default_factory=set)
    _next_ping_at: Millis = 0
    _former_addresses: set[Address] = field(default_factory=set)
    _next_rediscovery_at: Millis = 0

    def tick(self) -> None:
        """Ping the next balancer and declare dead those that exceeded the timeout."""
        now = self.state.now
        self._request_indirect_pings()
        self._declare_dead()
        if now >= self._next_ping_at:
            self._next_ping_at = now + self.state.settings.ping_period_millis
            self._ping_next()
            self._ping_suspects()
        if now >= self._next_rediscovery_at:
            self._next_rediscovery_at = now + REDISCOVERY_PERIOD_MILLIS
            self._ping_absent_addresses()

    def on_ping(self, ping: Ping, address: Address) -> None:
        """Answer a ping and apply its membership updates."""
        self.apply_updates(ping.updates)
        revision = self.state.tables.config_revision
        answer = Ack(ping.sequence, revision, self.digest(), self._take_updates())
        self.state.send(address, answer)

    def on_ack(self, ack: Ack, sender: MemberId) -> None:
        """Apply the answer to a ping, and forward it if the ping was proxied."""
        self.apply_updates(ack.updates)
        proxied = self._proxied_pings.pop(ack.sequence, None)
        if proxied is not None:
            answer = Ack(proxied.sequence, ack.config_revision, ack.digest, [])
            self.state.send(proxied.address, answer)
            return
        pending = self._pending_pings.pop(ack.sequence, None)
        if pending is not None and pending.target != sender:
            self._record_contact(pending.target)

    def accept_sender(
        self, message: Message, sender: MemberId, address: Address
    ) -> bool:
        """Return whether to process a message; answer a dead sender with Evicted.

        Messages of a balancer that was declared dead are ignored until it
        announces a new incarnation: after a network partition each side has
        declared the other dead, and must not propagate that.
        """
        if isinstance(message, Ping | Join):
            for update in updates_about_sender(message, sender):
                self.apply_update(update)
        row = self.state.tables.members.get(sender)
        if row is None or row.is_present or isinstance(message, Evicted):
            return True
        self.state.send(address, Evicted(row.incarnation, self._n_present()))
        return False

    def on_evicted(self, evicted: Evicted, sender: MemberId, address: Address) -> None:
        """Rejoin if the sender has declared this incarnation dead.

        If both have declared each other dead, the smaller side of the partition
        rejoins. A sender that knows only an older incarnation gets a ping with
        the current one.
        """
        row = self.state.own_row
        if not row.is_present:
            return
        if evicted.incarnation < row.incarnation:
            self._ping_with_own_state(address)
            return
        other = self.state.tables.members.get(sender)
        if other is not None and not other.is_present:
            own_side = (self._n_present(), sender)
            if own_side > (evicted.n_present, self.state.own_id):
                return
        self.rejoin()

    def on_ping_request(self, request: PingRequest, address: Address) -> None:
        """Ping a balancer on behalf of another."""
        row = self.state.tables.members.get(MemberId(request.target))
        if row is None or row.member == self.state.own_id:
            return
        sequence = self._next_sequence()
        self._proxied_pings[sequence] = _ProxiedPing(
            request.sequence, address, self.state.now
        )
        self.state.send(row.peer_address, self._build_ping(sequence))

    def on_authentic_message(self, member: MemberId) -> None:
        """Record that an authentic message of `member` has arrived."""
        self._record_contact(member)

    def apply_updates(self, updates: list[MemberState]) -> None:
        """Apply another balancer's membership updates."""
        for update in updates:
            self.apply_update(update)

    def apply_update(self, update: MemberState) -> bool:
        """Apply one member's state; return whether it changed anything.

        A live balancer without peers that discovers another live one rejoins: it
        is the smaller side of a healed partition, so the other's state wins.
        """
        member = MemberId(update.member)
        if member == self.state.own_id:
            self._apply_update_about_self(update)
            return False
        row = self.state.tables.members.get(member)
        order = (update.incarnation, update.status)
        if row is None and update.status == MemberStatus.DEAD:
            return False
        if row is not None and order <= (row.incarnation, row.status):
            row.config_revision = max(row.config_revision, update.config_revision)
            return False
        is_discovered = row is None and update.status == MemberStatus.LIVE
        was_alone = self.state.is_ready and not self.state.other_members()
        self._replace_row(update, row)
        if is_discovered and was_alone:
            self.rejoin()
        return True

    def set_own_status(self, status: MemberStatus) -> None:
        """Change this balancer's own status and disseminate it."""
        row = self.state.own_row
        if row.status is status:
            return
        row.status = status
        self._queue_update(row)
        self.state.log("own_status", status=status.name, incarnation=row.incarnation)

    def rejoin(self) -> None:
        """Start a new incarnation, which fetches its peers' state before it decides."""
        row = self.state.own_row
        row.incarnation += 1
        row.status = MemberStatus.JOINING
        self._pending_pings.clear()
        self._prune_dead(older_than=self.state.now)
        self.state.tables.verdicts.clear()
        reset_bucket_epochs(self.state)
        for shard, owned in enumerate(self.state.tables.shards):
            if owned.owner == self.state.own_id:
                owned.owner = None
                self.state.mark_shard_changed(shard)
                convert_records_to_copies(self.state, shard)
        for other in self.state.tables.members.values():
            other.suspect_since = None
        self._queue_update(row)
        self.state.log("rejoin", incarnation=row.incarnation)

    def ping_outdated(self, revision: int) -> None:
        """Ping each balancer that is not known to serve a revision."""
        for row in self.state.other_members():
            if row.config_revision < revision:
                self.state.send(
                    row.peer_address, self._build_ping(self._next_sequence())
                )

    @property
    def absent_addresses(self) -> set[Address]:
        """Return addresses of seeds and former members where none is present now."""
        members = self.state.tables.members.values()
        known = {row.peer_address for row in members if row.is_present}
        lost = {row.peer_address for row in members if not row.is_present}
        return (lost | self._former_addresses | set(self.state.seeds)) - known

    def own_state(self) -> MemberState:
        """Return this balancer's state as a message."""
        return member_message(self.state.own_row)

    def _apply_update_about_self(self, update: MemberState) -> None:
        row = self.state.own_row
        if update.incarnation < row.incarnation:
            return
        is_declared_dead = update.status == MemberStatus.DEAD
        if update.incarnation > row.incarnation or is_declared_dead:
            row.incarnation = update.incarnation
            if row.status is not MemberStatus.DEAD:
                self.rejoin()

    def _replace_row(self, update: MemberState, old: MemberRow | None) -> None:
        row = MemberRow(
            member=MemberId(update.member),
            host=update.host,
            peer_port=update.peer_port,
            relay_port=update.relay_port,
            api_port=update.api_port,
            data_centre=update.data_centre,
            incarnation=update.incarnation,
            status=MemberStatus(update.status),
            config_revision=update.config_revision,
            last_received_at=self.state.now,
            updated_at=self.state.now,
        )
        self.state.tables.members[row.member] = row
        is_new_incarnation = old is not None and old.incarnation != row.incarnation
        if is_new_incarnation or not row.is_present:
            self._clear_ownership(row.member)
        if not row.is_present:
            self.state.requests.drop_member(row.member)
        self._queue_update(row)
        self.state.log("member", member=row.member, status=row.status.name)

    def _clear_ownership(self, member: MemberId) -> None:
        for shard, row in enumerate(self.state.tables.shards):
            if row.owner == member:
                row.owner = None
                self.state.mark_shard_changed(shard)

    def _queue_update(self, row: MemberRow) -> None:
        self.state.membership_version += 1
        n_members = len(self.state.tables.members)
        self._n_sends_left[row.member] = RETRANSMIT_FACTOR * (
            n_members.bit_length() + 1
        )

    def _take_updates(self) -> list[MemberState]:
        least_sent = sorted(
            self._n_sends_left, key=lambda member: -self._n_sends_left[member]
        )
        chosen = least_sent[:MAX_UPDATES_PER_MESSAGE]
        for member in chosen:
            self._n_sends_left[member] -= 1
            if self._n_sends_left[member] <= 0:
                del self._n_sends_left[member]
        return [member_message(self.state.tables.members[item]) for item in chosen]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _build_ping(self, sequence: int) -> Ping:
        revision = self.state.tables.config_revision
        return Ping(sequence, revision, self.digest(), self._take_updates())

    def _ping(self, row: MemberRow) -> None:
        sequence = self._next_sequence()
        self._pending_pings[sequence] = _PendingPing(row.member, self.state.now)
        self.state.send(row.peer_address, self._build_ping(sequence))

    def _ping_next(self) -> None:
        while self._ping_order:
            row = self.state.tables.members.get(self._ping_order.pop())
            if row is not None and row.is_present:
                self._ping(row)
                return
        self._ping_order = sorted(row.member for row in self.state.other_members())
        self.state.random.shuffle(self._ping_order)
        if self._ping_order:
            self._ping(self.state.tables.members[self._ping_order.pop()])

    def _ping_suspects(self) -> None:
        for row in self._suspects():
            self._ping(row)

    def _ping_absent_addresses(self) -> None:
        """Ping addresses without a present member, to recover from a partition."""
        self._prune_dead(older_than=self.state.now - DEAD_RETENTION_MILLIS)
        candidates = sorted(self.absent_addresses)
        n_chosen = min(N_REDISCOVERY_PINGS, len(candidates))
        for address in self.state.random.sample(candidates, n_chosen):
            self._ping_with_own_state(address)

    def _ping_with_own_state(self, address: Address) -> None:
        """Ping an address with only this balancer's own state as update."""
        ping = self._build_ping(self._next_sequence())
        ping.updates = [member_message(self.state.own_row)]
        self.state.send(address, ping)

    def _request_indirect_pings(self) -> None:
        now = self.state.now
        settings = self.state.settings
        for sequence, pending in list(self._pending_pings.items()):
            age = now - pending.sent_at
            if age > settings.suspicion_timeout_millis:
                del self._pending_pings[sequence]
            elif (
                age >= settings.ack_timeout_millis and not pending.is_indirect_requested
            ):
                pending.is_indirect_requested = True
                self._suspect(pending, sequence)
        for sequence, proxied in list(self._proxied_pings.items()):
            if now - proxied.sent_at > settings.suspicion_timeout_millis:
                del self._proxied_pings[sequence]

    def _suspect(self, pending: _PendingPing, sequence: int) -> None:
        row = self.state.tables.members.get(pending.target)
        if row is None or not row.is_present or row.last_received_at > pending.sent_at:
            return
        if row.suspect_since is None:
            row.suspect_since = self.state.now
            self._suspected_members.add(row.member)
        proxies = [other for other in self.state.other_members() if other is not row]
        n_asked = min(N_INDIRECT_PINGS, len(proxies))
        for proxy in self.state.random.sample(proxies, n_asked):
            self.state.send(proxy.peer_address, PingRequest(sequence, row.member))

    def _declare_dead(self) -> None:
        limit = self.state.settings.suspicion_timeout_millis
        for row in self._suspects():
            if self.state.now - row.suspect_since >= limit:
                dead = member_message(row)
                dead.status = MemberStatus.DEAD
                self.apply_update(dead)

    def _prune_dead(self, older_than: Millis) -> None:
        """Delete the rows of dead balancers and keep some of their addresses."""
        members = self.state.tables.members
        for row in list(members.values()):
            if row.is_present or row.updated_at > older_than:
                continue
            del members[row.member]
            self._n_sends_left.pop(row.member, None)
            self.state.tables.verdicts.pop(row.member, None)
            if len(self._former_addresses) < MAX_FORMER_ADDRESSES:
                self._former_addresses.add(row.peer_address)

    def _n_present(self) -> int:
        return sum(1 for _ in self.state.tables.present_members())

    def _suspects(self) -> list[MemberRow]:
        """Return the suspected balancers, and discard those no longer suspected."""
        rows: list[MemberRow] = []
        for member in sorted(self._suspected_members):
            row = self.state.tables.members.get(member)
            if row is not None and row.is_present and row.suspect_since is not None:
                rows.append(row)
            else:
                self._suspected_members.discard(member)
        return rows

    def _record_contact(self, member: MemberId) -> None:
        row = self.state.tables.members.get(member)
        if row is not None:
            row.last_received_at = self.state.now
            row.suspect_since = None
