"""Checks of the invariants that hold on every balancer after each tick."""

from stoattray_core._errors import InvariantViolated
from stoattray_core._identifiers import N_SHARDS
from stoattray_core._state import State
from stoattray_core._tables import MemberStatus, ServiceRow

CHECKED_SHARDS_PER_TICK = 8


class InvariantChecker:
    """Checks a few table rows per tick, in rotation, to limit the cost of a tick.

    Parameters
    ----------
    state : State
        Tables to check.
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self._position = 0
        self._revision = 0

    def check(self) -> None:
        """Check the next rows.

        Raises
        ------
        InvariantViolated
            With the invariant and the row that violates it.
        """
        self._check_revision()
        services = list(self._state.tables.services.values())
        if not services:
            return
        service_number, start = divmod(self._position, N_SHARDS)
        row = services[service_number % len(services)]
        self._check_address(row)
        for offset in range(CHECKED_SHARDS_PER_TICK):
            self._check_shard(row, (start + offset) % N_SHARDS)
        self._position += CHECKED_SHARDS_PER_TICK

    def _check_revision(self) -> None:
        revision = self._state.tables.config_revision
        if revision < self._revision:
            raise InvariantViolated(
                f"configuration revision {revision} after {self._revision}"
            )
        self._revision = revision

    def _check_address(self, row: ServiceRow) -> None:
        """Check that a service is registered under its own address only."""
        for key, holder in self._state.tables.services_by_key.items():
            if holder is row and row.spec.key != key:
                raise InvariantViolated(
                    f"{row.spec.service} is registered under another address"
                )

    def _check_shard(self, row: ServiceRow, shard: int) -> None:
        state = self._state
        bucket_name = f"{row.spec.service} {shard}"
        owning_shard = state.owning_shard((row.spec.service, shard))
        is_owned = state.tables.shards[owning_shard].owner == state.own_id
        if is_owned and state.own_row.status is MemberStatus.JOINING:
            raise InvariantViolated(f"joining balancer owns shard {owning_shard}")
        bucket = row.buckets[shard]
        move = state.tables.moves.get((row.spec.service, shard))
        if move is not None and not is_owned:
            raise InvariantViolated(f"{bucket_name}: flow records without ownership")
        if row.fast_path_addresses[shard] is None:
            return
        if bucket is None or bucket.tracked or bucket.pins or move is not None:
            raise InvariantViolated(
                f"{bucket_name}: fast path for an unsettled or pinned bucket"
            )
        if row.is_evacuated:
            raise InvariantViolated(f"{bucket_name}: fast path of an evacuated service")
        if bucket.base in row.failed_servers:
            raise InvariantViolated(
                f"{bucket_name}: fast path to a dead backend server"
            )
