"""Requests that are resent until they are answered or the receiver is dead."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stoattray_core._identifiers import Address, MemberId, Millis
from stoattray_core.messages import Message


@dataclass(slots=True)
class PendingRequest:
    """A request to one balancer that has not been answered."""

    request: int
    group: int
    member: MemberId
    address: Address
    message: Message
    sent_at: Millis


@dataclass(slots=True)
class PendingRequests:
    """All pending requests, by request number and by group.

    A group is complete when each of its requests has been answered or dropped
    because the receiver is dead.
    """

    _by_request: dict[int, PendingRequest] = field(default_factory=dict)
    _pending_by_group: dict[int, set[int]] = field(default_factory=dict)
    _last_number: int = 0

    def next_number(self) -> int:
        """Return an unused number for a request or group."""
        self._last_number += 1
        return self._last_number

    def add(self, pending: PendingRequest) -> None:
        """Keep a request until it is answered."""
        self._by_request[pending.request] = pending
        self._pending_by_group.setdefault(pending.group, set()).add(pending.request)

    def complete(self, request: int, member: MemberId) -> PendingRequest | None:
        """Remove and return an answered request, or None if `member` did not get it."""
        pending = self._by_request.get(request)
        if pending is None or pending.member != member:
            return None
        self._drop(pending)
        return pending

    def is_group_pending(self, group: int) -> bool:
        """Return whether a request of the group is pending."""
        return group in self._pending_by_group

    def waiting_for(self, group: int) -> list[MemberId]:
        """Return the balancers with a pending request of the group."""
        numbers = sorted(self._pending_by_group.get(group, ()))
        return [self._by_request[number].member for number in numbers]

    def drop_member(self, member: MemberId) -> None:
        """Drop all requests to a balancer."""
        dropped = [row for row in self._by_request.values() if row.member == member]
        for pending in dropped:
            self._drop(pending)

    def drop_groups(self, groups: Iterable[int]) -> None:
        """Drop all requests of some groups."""
        for group in groups:
            for number in list(self._pending_by_group.get(group, ())):
                self._drop(self._by_request[number])

    def take_due(self, now: Millis, period: Millis) -> Iterator[PendingRequest]:
        """Yield each request last sent at least `period` ago, and mark it as sent."""
        for pending in list(self._by_request.values()):
            if now - pending.sent_at >= period:
                pending.sent_at = now
                yield pending

    def __len__(self) -> int:
        return len(self._by_request)

    def _drop(self, pending: PendingRequest) -> None:
        self._by_request.pop(pending.request, None)
        numbers = self._pending_by_group.get(pending.group)
        if numbers is None:
            return
        numbers.discard(pending.request)
        if not numbers:
            del self._pending_by_group[pending.group]
