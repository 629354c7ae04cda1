"""Gossip membership: pings, indirect pings and spread of changes.

The failure detector follows SWIM (Das et al., DSN 2002): each period a
balancer pings one other, asks a few to ping on its behalf when there is no
answer, and declares it dead after a time of silence. Changes of members travel
on pings and answers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from stoattray_core._buckets import demote_buckets, release_shard
from stoattray_core._identifiers import Address, MemberId, Millis
from stoattray_core._member_messages import describe_member, own_updates
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
N_HELPERS = 2
SPREAD_FACTOR = 3
REDISCOVERY_PERIOD = 2_000
N_REDISCOVERED = 4
DEAD_RETENTION = 7_200_000
MAX_FORGOTTEN = 64


@dataclass(slots=True)
class _Probe:
    target: MemberId
    sent_at: Millis
    asked_helpers: bool = False


@dataclass(slots=True)
class _Proxy:
    sequence: int
    address: Address
    sent_at: Millis


@dataclass(slots=True)
class Membership:
    """Detects dead balancers and spreads changes of members."""

    state: State
    digest: Callable[[], int]
    _sequence: int = 0
    _probes: dict[int, _Probe] = field(default_factory=dict)
    _proxies: dict[int, _Proxy] = field(default_factory=dict)
    _round: list[MemberId] = field(default_factory=list)
    _news: dict[MemberId, int] = field(default_factory=dict)
    _suspected: set[MemberId] = field(default_factory=set)
    _next_probe_at: Millis = 0
    _forgotten: set[Address] = field(default_factory=set)
    _next_rediscovery_at: Millis = 0

    def tick(self) -> None:
        """Ping the next balancer and judge those that are silent."""
        now = self.state.now
        self._ask_helpers()
        self._declare_dead()
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.state.settings.probe_period
            self._probe_next()
            self._probe_suspects()
        if now >= self._next_rediscovery_at:
            self._next_rediscovery_at = now + REDISCOVERY_PERIOD
            self._probe_lost()

    def on_ping(self, ping: Ping, address: Address) -> None:
        """Answer a ping and take in its gossip."""
        self.merge(ping.updates)
        revision = self.state.tables.config_revision
        answer = Ack(ping.sequence, revision, self.digest(), self._gossip())
        self.state.send(address, answer)

    def on_ack(self, ack: Ack, sender: MemberId) -> None:
        """Take in the answer to a ping, or pass it on to who asked for it."""
        self.merge(ack.updates)
        proxy = self._proxies.pop(ack.sequence, None)
        if proxy is not None:
            answer = Ack(proxy.sequence, ack.config_revision, ack.digest, [])
            self.state.send(proxy.address, answer)
            return
        probe = self._probes.pop(ack.sequence, None)
        if probe is not None and probe.target != sender:
            self._mark_heard(probe.target)

    def admit(self, message: Message, sender: MemberId, address: Address) -> bool:
        """Return whether a message counts, and tell a dead sender why not.

        The word of a balancer that was declared dead is not taken, until it has
        announced a new incarnation: after a cut, each side holds the other for
        dead, and must not spread that.
        """
        if isinstance(message, Ping | Join):
            for update in own_updates(message, sender):
                self.merge_one(update)
        row = self.state.tables.members.get(sender)
        if row is None or row.is_present or isinstance(message, Evicted):
            return True
        self.state.send(address, Evicted(row.incarnation, self._n_present()))
        return False

    def on_evicted(self, evicted: Evicted, sender: MemberId, address: Address) -> None:
        """Rejoin if the sender is right to hold this balancer for dead.

        If each holds the other for dead, the smaller side rejoins. A sender that
        knows only an older incarnation is told of this one.
        """
        row = self.state.self_row
        if not row.is_present:
            return
        if evicted.incarnation < row.incarnation:
            self._introduce(address)
            return
        other = self.state.tables.members.get(sender)
        if other is not None and not other.is_present:
            own_side = (self._n_present(), sender)
            if own_side > (evicted.n_present, self.state.me):
                return
        self.rejoin()

    def on_ping_request(self, request: PingRequest, address: Address) -> None:
        """Ping a balancer on behalf of another."""
        row = self.state.tables.members.get(MemberId(request.target))
        if row is None or row.member == self.state.me:
            return
        sequence = self._next_sequence()
        self._proxies[sequence] = _Proxy(request.sequence, address, self.state.now)
        self.state.send(row.peer_address, self._ping(sequence))

    def on_heard(self, member: MemberId) -> None:
        """Note that an authentic message of `member` has arrived."""
        self._mark_heard(member)

    def merge(self, updates: list[MemberState]) -> None:
        """Take in what another balancer knows of members."""
        for update in updates:
            self.merge_one(update)

    def merge_one(self, update: MemberState) -> bool:
        """Take in one member's state; return whether it is news.

        A balancer that is alone and meets a live one that did not join it joins
        the other, since its own state is that of a smaller side.
        """
        member = MemberId(update.member)
        if member == self.state.me:
            self._merge_self(update)
            return False
        row = self.state.tables.members.get(member)
        order = (update.incarnation, update.status)
        if row is None and update.status == MemberStatus.DEAD:
            return False
        if row is not None and order <= (row.incarnation, row.status):
            row.config_revision = max(row.config_revision, update.config_revision)
            return False
        is_meeting = row is None and update.status == MemberStatus.LIVE
        was_alone = self.state.is_ready and not self.state.others()
        self._install(update, row)
        if is_meeting and was_alone:
            self.rejoin()
        return True

    def set_own_status(self, status: MemberStatus) -> None:
        """Change this balancer's own status and spread it."""
        row = self.state.self_row
        if row.status is status:
            return
        row.status = status
        self._announce(row)
        self.state.log("own_status", status=status.name, incarnation=row.incarnation)

    def rejoin(self) -> None:
        """Start a new incarnation that has to learn before it decides."""
        row = self.state.self_row
        row.incarnation += 1
        row.status = MemberStatus.JOINING
        self._probes.clear()
        self._forget_dead(older_than=self.state.now)
        self.state.tables.verdicts.clear()
        demote_buckets(self.state)
        for shard, owned in enumerate(self.state.tables.shards):
            if owned.owner == self.state.me:
                owned.owner = None
                self.state.note_owner_change(shard)
                release_shard(self.state, shard)
        for other in self.state.tables.members.values():
            other.suspect_since = None
        self._announce(row)
        self.state.log("rejoin", incarnation=row.incarnation)

    def ping_lacking(self, revision: int) -> None:
        """Ping each balancer that is not known to serve a revision."""
        for row in self.state.others():
            if row.config_revision < revision:
                self.state.send(row.peer_address, self._ping(self._next_sequence()))

    @property
    def lost_addresses(self) -> set[Address]:
        """Return where balancers may be that are not known to be present."""
        members = self.state.tables.members.values()
        known = {row.peer_address for row in members if row.is_present}
        lost = {row.peer_address for row in members if not row.is_present}
        return (lost | self._forgotten | set(self.state.seeds)) - known

    def own_state(self) -> MemberState:
        """Return this balancer's state as a message."""
        return describe_member(self.state.self_row)

    def _merge_self(self, update: MemberState) -> None:
        row = self.state.self_row
        if update.incarnation < row.incarnation:
            return
        is_declared_dead = update.status == MemberStatus.DEAD
        if update.incarnation > row.incarnation or is_declared_dead:
            row.incarnation = update.incarnation
            if row.status is not MemberStatus.DEAD:
                self.rejoin()

    def _install(self, update: MemberState, old: MemberRow | None) -> None:
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
            heard_at=self.state.now,
            changed_at=self.state.now,
        )
        self.state.tables.members[row.member] = row
        is_reborn = old is not None and old.incarnation != row.incarnation
        if is_reborn or not row.is_present:
            self._forget_ownership(row.member)
        if not row.is_present:
            self.state.requests.drop_member(row.member)
        self._announce(row)
        self.state.log("member", member=row.member, status=row.status.name)

    def _forget_ownership(self, member: MemberId) -> None:
        for shard, row in enumerate(self.state.tables.shards):
            if row.owner == member:
                row.owner = None
                self.state.note_owner_change(shard)

    def _announce(self, row: MemberRow) -> None:
        self.state.membership_version += 1
        n_members = len(self.state.tables.members)
        self._news[row.member] = SPREAD_FACTOR * (n_members.bit_length() + 1)

    def _gossip(self) -> list[MemberState]:
        freshest = sorted(self._news, key=lambda member: -self._news[member])
        chosen = freshest[:MAX_UPDATES_PER_MESSAGE]
        for member in chosen:
            self._news[member] -= 1
            if self._news[member] <= 0:
                del self._news[member]
        return [describe_member(self.state.tables.members[item]) for item in chosen]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, sequence: int) -> Ping:
        revision = self.state.tables.config_revision
        return Ping(sequence, revision, self.digest(), self._gossip())

    def _probe(self, row: MemberRow) -> None:
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(row.member, self.state.now)
        self.state.send(row.peer_address, self._ping(sequence))

    def _probe_next(self) -> None:
        while self._round:
            row = self.state.tables.members.get(self._round.pop())
            if row is not None and row.is_present:
                self._probe(row)
                return
        self._round = sorted(row.member for row in self.state.others())
        self.state.random.shuffle(self._round)
        if self._round:
            self._probe(self.state.tables.members[self._round.pop()])

    def _probe_suspects(self) -> None:
        for row in self._suspects():
            self._probe(row)

    def _probe_lost(self) -> None:
        """Ping addresses at which nobody present is known, to heal a cut."""
        self._forget_dead(older_than=self.state.now - DEAD_RETENTION)
        candidates = sorted(self.lost_addresses)
        n_chosen = min(N_REDISCOVERED, len(candidates))
        for address in self.state.random.sample(candidates, n_chosen):
            self._introduce(address)

    def _introduce(self, address: Address) -> None:
        """Ping an address with nothing but this balancer's own state."""
        ping = self._ping(self._next_sequence())
        ping.updates = [describe_member(self.state.self_row)]
        self.state.send(address, ping)

    def _ask_helpers(self) -> None:
        now = self.state.now
        settings = self.state.settings
        for sequence, probe in list(self._probes.items()):
            age = now - probe.sent_at
            if age > settings.suspicion_timeout:
                del self._probes[sequence]
            elif age >= settings.ack_timeout and not probe.asked_helpers:
                probe.asked_helpers = True
                self._suspect(probe, sequence)
        for sequence, proxy in list(self._proxies.items()):
            if now - proxy.sent_at > settings.suspicion_timeout:
                del self._proxies[sequence]

    def _suspect(self, probe: _Probe, sequence: int) -> None:
        row = self.state.tables.members.get(probe.target)
        if row is None or not row.is_present or row.heard_at > probe.sent_at:
            return
        if row.suspect_since is None:
            row.suspect_since = self.state.now
            self._suspected.add(row.member)
        helpers = [other for other in self.state.others() if other is not row]
        n_asked = min(N_HELPERS, len(helpers))
        for helper in self.state.random.sample(helpers, n_asked):
            self.state.send(helper.peer_address, PingRequest(sequence, row.member))

    def _declare_dead(self) -> None:
        limit = self.state.settings.suspicion_timeout
        for row in self._suspects():
            if self.state.now - row.suspect_since >= limit:
                dead = describe_member(row)
                dead.status = MemberStatus.DEAD
                self.merge_one(dead)

    def _forget_dead(self, older_than: Millis) -> None:
        """Drop the rows of dead balancers, and keep some of their addresses."""
        members = self.state.tables.members
        for row in list(members.values()):
            if row.is_present or row.changed_at > older_than:
                continue
            del members[row.member]
            self._news.pop(row.member, None)
            self.state.tables.verdicts.pop(row.member, None)
            if len(self._forgotten) < MAX_FORGOTTEN:
                self._forgotten.add(row.peer_address)

    def _n_present(self) -> int:
        return sum(1 for _ in self.state.tables.present_members())

    def _suspects(self) -> list[MemberRow]:
        """Return the present balancers that are silent, and drop all others."""
        rows: list[MemberRow] = []
        for member in sorted(self._suspected):
            row = self.state.tables.members.get(member)
            if row is not None and row.is_present and row.suspect_since is not None:
                rows.append(row)
            else:
                self._suspected.discard(member)
        return rows

    def _mark_heard(self, member: MemberId) -> None:
        row = self.state.tables.members.get(member)
        if row is not None:
            row.heard_at = self.state.now
            row.suspect_since = None
