"""What a balancer with cookie placement asks of the platform's store."""

from typing import Protocol

from stoattray_core._sentinel import Refused
from stoattray_core.steering.replica import Difference


class StoreClient(Protocol):
    """Reads records, waits for changes, and keeps one leased record.

    Each call returns in a bounded time. Refusals are HISTORY_GONE (read all anew),
    NOT_FOUND (the lease has ended), PLATFORM_UNAVAILABLE (nothing was done) and
    OUTCOME_UNKNOWN.
    """

    def read_all(self) -> Difference | Refused:
        """Return every record, complete up to the revision given."""

    def watch(self, after_revision: int, wait_ms: int) -> Difference | Refused:
        """Return what changed after a revision, waiting for the first change."""

    def grant_lease(self, ttl_ms: int) -> int | Refused:
        """Return a new lease that ends unless it is kept."""

    def renew_lease(self, lease: int) -> None | Refused:
        """Let a lease run anew."""

    def revoke_lease(self, lease: int) -> None | Refused:
        """End a lease and remove its records."""

    def put_member(self, name: str, value: bytes, lease: int) -> None | Refused:
        """Write this balancer's own record under a lease."""
