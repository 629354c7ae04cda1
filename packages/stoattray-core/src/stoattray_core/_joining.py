"""Joining: a balancer fetches the state of all others before it decides anything.

Invariant: a live balancer registers a joining one as a member before it sends its
state to it, so the joining balancer also receives all later changes.
"""

from dataclasses import dataclass, field

from stoattray_core._bucket_table import (
    apply_buckets,
    apply_claims,
    known_bucket_keys,
    shard_message,
    split_buckets,
)
from stoattray_core._identifiers import N_SHARDS, Address, MemberId, Millis
from stoattray_core._member_messages import member_message
from stoattray_core._membership import Membership
from stoattray_core._state import State
from stoattray_core._tables import MemberRow, MemberStatus
from stoattray_core.messages import Join, JoinReply

JOIN_RETRY_PERIOD_MILLIS = 200


@dataclass(frozen=True, slots=True)
class _Answer:
    incarnation: int
    is_serving: bool


@dataclass(slots=True)
class Joining:
    """Requests the state of every balancer until all have answered."""

    state: State
    membership: Membership
    _incarnation: int = -1
    _first_request: int = 0
    _started_at: Millis = 0
    _requested_at: Millis = 0
    _received_parts: dict[tuple[MemberId, int], set[int]] = field(default_factory=dict)
    _answers: dict[MemberId, _Answer] = field(default_factory=dict)

    def tick(self) -> None:
        """Repeat the request while joining; become live when all have answered."""
        row = self.state.own_row
        if row.status is not MemberStatus.JOINING:
            return
        if row.incarnation != self._incarnation:
            self._start(row.incarnation)
        elif self.state.now - self._requested_at >= JOIN_RETRY_PERIOD_MILLIS:
            self._send_requests()
        if self._can_become_live():
            self._become_live()

    def on_join(self, join: Join, address: Address) -> None:
        """Register the sender and send it this balancer's state."""
        self.membership.apply_update(join.sender)
        apply_claims(self.state, join.shards)
        self._send_reply(join.request, address)

    def on_reply(self, reply: JoinReply) -> None:
        """Apply one part of a balancer's state.

        Shards and buckets of a sender with a newer configuration are ignored; it is
        asked again after the configuration here has caught up.
        """
        self.membership.apply_updates(reply.members)
        self.membership.apply_update(reply.sender)
        is_current = reply.request >= self._first_request > 0
        is_joining = self.state.own_row.status is MemberStatus.JOINING
        is_ahead = reply.sender.config_revision > self.state.tables.config_revision
        if not is_current or not is_joining or is_ahead:
            return
        apply_claims(self.state, reply.shards)
        apply_buckets(self.state, reply.buckets, reply.pins)
        self._record_part(reply)

    def _record_part(self, reply: JoinReply) -> None:
        member = MemberId(reply.sender.member)
        parts = self._received_parts.setdefault((member, reply.request), set())
        parts.add(reply.part)
        if len(parts) == reply.n_parts:
            is_serving = reply.sender.status != MemberStatus.JOINING
            answer = _Answer(reply.sender.incarnation, is_serving)
            self._answers[member] = answer

    def _start(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._started_at = self.state.now
        self._answers = {}
        self._received_parts = {}
        self._first_request = self.state.requests.next_number()
        self._send_requests()

    def _send_requests(self) -> None:
        """Send join requests, with a new number to keep parts of two answers apart."""
        self._requested_at = self.state.now
        request = self.state.requests.next_number()
        rows = self.state.other_members()
        addresses = {row.peer_address for row in rows if not self._has_answered(row)}
        addresses.update(self.membership.absent_addresses)
        addresses.discard(self.state.own_row.peer_address)
        shards = [
            shard_message(self.state, shard)
            for shard, row in enumerate(self.state.tables.shards)
            if row.epoch > 0
        ]
        for address in sorted(addresses):
            join = Join(request, self.membership.own_state(), shards)
            self.state.send(address, join)

    def _can_become_live(self) -> bool:
        rows = self.state.other_members()
        if not all(self._has_answered(row) for row in rows):
            return False
        if any(row.status is not MemberStatus.JOINING for row in rows):
            highest = max(row.config_revision for row in rows)
            return self.state.tables.config_revision >= highest
        waited = self.state.now - self._started_at
        if waited < self.state.settings.bootstrap_wait_millis:
            return False
        first = min(row.member for row in self.state.tables.present_members())
        return self.state.own_id == first

    def _has_answered(self, row: MemberRow) -> bool:
        answer = self._answers.get(row.member)
        if answer is None or answer.incarnation != row.incarnation:
            return False
        return answer.is_serving or row.status is MemberStatus.JOINING

    def _become_live(self) -> None:
        self._first_request = 0
        self._answers = {}
        self._received_parts = {}
        self.membership.set_own_status(MemberStatus.LIVE)

    def _send_reply(self, request: int, address: Address) -> None:
        state = self.state
        sender = self.membership.own_state()
        members = [member_message(row) for row in state.tables.members.values()]
        shards = []
        parts = list(split_buckets((), state.tables.services))
        if state.is_ready:
            owned = [
                shard
                for shard in range(N_SHARDS)
                if state.tables.shards[shard].owner == state.own_id
            ]
            shards = [shard_message(state, shard) for shard in owned]
            keys = known_bucket_keys(state, owned)
            parts = list(split_buckets(keys, state.tables.services))
        for number, part in enumerate(parts):
            is_first = number == 0
            reply = JoinReply(
                request=request,
                part=number,
                n_parts=len(parts),
                sender=sender,
                members=members if is_first else [],
                shards=shards if is_first else [],
                buckets=part.buckets,
                pins=part.pins,
            )
            state.send(address, reply)
