"""Properties that hold on every balancer after every tick."""

from stoattray_core._errors import InvariantViolated
from stoattray_core._identifiers import N_SHARDS
from stoattray_core._state import State
from stoattray_core._tables import MemberStatus

CHECKED_SHARDS_PER_TICK = 16


def check_tables(state: State) -> None:
    """Check a rotating part of the tables.

    Raises
    ------
    InvariantViolated
        With the name of the property and the row.
    """
    _check_addresses(state)
    start = state.now % N_SHARDS
    for offset in range(CHECKED_SHARDS_PER_TICK):
        _check_shard(state, (start + offset) % N_SHARDS)


def _check_addresses(state: State) -> None:
    for key, row in state.tables.services_by_key.items():
        if row.spec.key != key:
            raise InvariantViolated(f"address of {row.spec.service} leads elsewhere")


def _check_shard(state: State, shard: int) -> None:
    is_mine = state.tables.shards[shard].owner == state.me
    if is_mine and state.self_row.status is MemberStatus.JOINING:
        raise InvariantViolated(f"joining balancer owns shard {shard}")
    for service, row in state.tables.services.items():
        bucket = row.buckets[shard]
        move = state.tables.moves.get((service, shard))
        if move is not None and not is_mine:
            raise InvariantViolated(f"{service} {shard}: records without ownership")
        address = row.fast_addresses[shard]
        if address is None:
            continue
        if bucket is None or bucket.tracked or bucket.pins or move is not None:
            raise InvariantViolated(f"{service} {shard}: fast path past a decision")
        if bucket.base in row.failed:
            raise InvariantViolated(f"{service} {shard}: fast path to a dead server")
