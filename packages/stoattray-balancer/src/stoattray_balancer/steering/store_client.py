"""Interface to the platform's store for a balancer with cookie placement."""

from typing import Protocol

from stoattray_balancer.steering.early_request import EarlyRequest
from stoattray_core._sentinel import Refused
from stoattray_core.steering.replica import Difference


class StoreClient(Protocol):
    """Reads and watches records, and maintains one leased record.

    Each call returns in a bounded time. Refusals are HISTORY_GONE (read all records
    again), NOT_FOUND (the lease has ended), PLATFORM_UNAVAILABLE (the call had no
    effect) and OUTCOME_UNKNOWN.
    """

    def adopt(self, early: EarlyRequest) -> None:
        """Let the next `read_all` use a request for all records that was sent."""

    def read_all(self) -> Difference | Refused:
        """Return all records, complete up to the returned revision."""

    def watch(self, after_revision: int, wait_ms: int) -> Difference | Refused:
        """Return changes after a revision, waiting up to `wait_ms` for the first."""

    def grant_lease(self, ttl_ms: int) -> int | Refused:
        """Return a new lease that ends after `ttl_ms` unless it is renewed."""

    def renew_lease(self, lease: int) -> None | Refused:
        """Restart the lifetime of a lease."""

    def revoke_lease(self, lease: int) -> None | Refused:
        """End a lease and delete its records."""

    def put_member(self, name: str, value: bytes, lease: int) -> None | Refused:
        """Write this balancer's own record under a lease."""
