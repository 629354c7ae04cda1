"""Requests that are sent again until they are answered or the receiver is gone."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stoattray_core._identifiers import Address, MemberId, Millis
from stoattray_core.messages import Message


@dataclass(slots=True)
class PendingRequest:
    """One message to one balancer that awaits its answer."""

    request: int
    group: int
    member: MemberId
    address: Address
    message: Message
    sent_at: Millis


@dataclass(slots=True)
class PendingRequests:
    """All unanswered requests, by request number and by group.

    A group is finished when each of its requests was answered or its receiver
    is no longer present.
    """

    _by_request: dict[int, PendingRequest] = field(default_factory=dict)
    _open_by_group: dict[int, set[int]] = field(default_factory=dict)
    _last_number: int = 0

    def next_number(self) -> int:
        """Return a number for a request or group that was not used before."""
        self._last_number += 1
        return self._last_number

    def add(self, pending: PendingRequest) -> None:
        """Keep a request until it is answered."""
        self._by_request[pending.request] = pending
        self._open_by_group.setdefault(pending.group, set()).add(pending.request)

    def finish(self, request: int, member: MemberId) -> PendingRequest | None:
        """Drop an answered request; None if `member` does not owe this answer."""
        pending = self._by_request.get(request)
        if pending is None or pending.member != member:
            return None
        self._drop(pending)
        return pending

    def is_open(self, group: int) -> bool:
        """Return whether a request of the group is still unanswered."""
        return group in self._open_by_group

    def waiting_for(self, group: int) -> list[MemberId]:
        """Return the balancers that still owe an answer to the group."""
        numbers = sorted(self._open_by_group.get(group, ()))
        return [self._by_request[number].member for number in numbers]

    def drop_member(self, member: MemberId) -> None:
        """Forget what a balancer that is gone owes."""
        owed = [row for row in self._by_request.values() if row.member == member]
        for pending in owed:
            self._drop(pending)

    def drop_groups(self, groups: Iterable[int]) -> None:
        """Forget whole groups."""
        for group in groups:
            for number in list(self._open_by_group.get(group, ())):
                self._drop(self._by_request[number])

    def due(self, now: Millis, period: Millis) -> Iterator[PendingRequest]:
        """Yield each request that was last sent at least `period` ago."""
        for pending in list(self._by_request.values()):
            if now - pending.sent_at >= period:
                pending.sent_at = now
                yield pending

    def __len__(self) -> int:
        return len(self._by_request)

    def _drop(self, pending: PendingRequest) -> None:
        self._by_request.pop(pending.request, None)
        numbers = self._open_by_group.get(pending.group)
        if numbers is None:
            return
        numbers.discard(pending.request)
        if not numbers:
            del self._open_by_group[pending.group]
