"""Budgets of openings for cold servers, over all balancers.

A cold server may get at most `limit` openings in any second, summed over all balancers.
Its whole budget belongs to one balancer, its owner (see `ownership`).

Invariant: at any time at most one balancer forwards openings to a cold server. Its
owner does so only while its replica is confirmed (see `owner_confirmation`), after it
has been the owner for `OWNERSHIP_GAP_MILLIS`, and after as long without a time in which
the replica was not confirmed.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from math import floor
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cold_servers import ColdServers
from stoattray_core.steering.entries import WarmUp
from stoattray_core.steering.owner_confirmation import OwnerConfirmation
from stoattray_core.steering.ownership import OWNERSHIP_GAP_MILLIS, OwnerTable
from stoattray_core.steering.servers import ServerRow

WINDOW_MILLIS = 1_100
"""Window in which the owner counts openings: the second of the limit, and the variation
of the network delay between balancer and server."""


class WarmUpBounds(NamedTuple):
    """Allowance above the declared rate.

    Parameters
    ----------
    overage : float
        Factor of the declared openings a second.
    slack : float
        Openings added to that.
    """

    overage: float
    slack: float


class WithheldReason(Enum):
    """Why an opening may not be sent to a cold server."""

    NOT_OWNER = "not_owner"
    UNCONFIRMED = "unconfirmed"
    GAP = "gap"
    USED_UP = "used_up"


class Withheld(NamedTuple):
    """Refusal of an opening for a cold server.

    Parameters
    ----------
    reason : WithheldReason
        Why it may not be sent.
    owner : str or None
        Owner of the server; None if no balancer is listed.
    n_left : int
        Openings that this balancer may still send there in the current window.
    """

    reason: WithheldReason
    owner: str | None
    n_left: int


class WarmUpBudgets:
    """Budgets of the cold servers that this balancer owns.

    Parameters
    ----------
    own : str
        Name of this balancer.
    bounds : WarmUpBounds
        Allowance above the declared rate.
    cold_servers : ColdServers
        Tells which servers are cold.
    owners : OwnerTable
        Owners by the replica's list of balancers.
    confirmation : OwnerConfirmation
        Confirmation of the replica.
    warm_up : callable
        Returns the warm-up of a service, or None if the service has no limit.
    """

    def __init__(
        self,
        own: str,
        bounds: WarmUpBounds,
        *,
        cold_servers: ColdServers,
        owners: OwnerTable,
        confirmation: OwnerConfirmation,
        warm_up: Callable[[str], WarmUp | None],
    ) -> None:
        self._own = own
        self._bounds = bounds
        self._cold_servers = cold_servers
        self._owners = owners
        self._confirmation = confirmation
        self._warm_up = warm_up
        self._opened_at: dict[str, deque[Millis]] = {}

    def may_open(self, server: ServerRow, now: Millis) -> bool:
        """Return whether an opening may be sent to a server."""
        return self.check(server, now) is None

    def check(self, server: ServerRow, now: Millis) -> Withheld | None:
        """Return why no opening may be sent to a server, or None if one may."""
        if not self._cold_servers.is_cold(server, now):
            return None
        owner = self._owners.owner(server.entry)
        if owner != self._own:
            return Withheld(WithheldReason.NOT_OWNER, owner, 0)
        if not self._confirmation.is_recent(now):
            return Withheld(WithheldReason.UNCONFIRMED, owner, 0)
        is_unbroken = now - self._confirmation.unbroken_since >= OWNERSHIP_GAP_MILLIS
        if not (is_unbroken and self._owners.is_held(server.entry, now)):
            return Withheld(WithheldReason.GAP, owner, 0)
        if self._n_left(server, now) <= 0:
            return Withheld(WithheldReason.USED_UP, owner, 0)
        return None

    def note_opening(self, server: ServerRow, now: Millis) -> None:
        """Record an opening that is sent to a server.

        The count goes on under the server's name when it starts again.
        """
        if self._cold_servers.is_cold(server, now):
            self._opened_at.setdefault(server.name, deque()).append(now)

    def limit(self, service: str) -> int | None:
        """Return the openings a second for a cold server; None without a limit."""
        warm_up = self._warm_up(service)
        if warm_up is None:
            return None
        allowed = warm_up.openings_per_second * self._bounds.overage
        return floor(allowed + self._bounds.slack)

    def expire(self, now: Millis) -> None:
        """Remove counts that are older than the window."""
        for name in list(self._opened_at):
            if self._n_recent(name, now) == 0:
                del self._opened_at[name]

    def _n_left(self, server: ServerRow, now: Millis) -> int:
        limit = self.limit(server.entry.service)
        assert limit is not None
        return limit - self._n_recent(server.name, now)

    def _n_recent(self, name: str, now: Millis) -> int:
        opened_at = self._opened_at.get(name)
        if opened_at is None:
            return 0
        while opened_at and now - opened_at[0] >= WINDOW_MILLIS:
            opened_at.popleft()
        return len(opened_at)
