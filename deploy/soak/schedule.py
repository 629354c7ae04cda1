"""Schedule of faults and planned changes, generated deterministically from a seed."""

from random import Random
from typing import NamedTuple

START_SECONDS = 2.0
FAULT_PHASE_SECONDS = 8.0
"""Length of a phase with overlapping faults and planned changes of all kinds."""

PLANNED_PHASE_SECONDS = 16.0
"""Length of a phase with planned changes only, which must interrupt no flow; time
bounds are enforced from its fifth second."""

RECOVERY_SECONDS = 6.0
"""No entry starts this close to the end of a run, so that recovery can be checked."""

INTERVALS_SECONDS = (0.3, 1.0, 2.5)
"""Short intervals make entries overlap; long intervals separate them."""


EVACUATION_RECOVERY_SECONDS = 11.0
"""No evacuation or joint restart of servers lasts until this close to the end of a run:
the servers are cold for up to 7 s afterwards."""

MIN_EVACUATION_SECONDS = 6.0
"""An evacuation lasts longer than the 5 s after which it is checked."""


UNLISTED_SECONDS = 10.0
"""Time for which a server serves on without its record. It may get no openings after
3 s, once no fault is recent."""


class ScheduleEntry(NamedTuple):
    """Start time, kind and duration of an injection; `pick` selects its target."""

    at: float
    kind: str
    seconds: float
    pick: int


PLANNED_KINDS = (
    "roll",
    "reload",
    "host_drain",
    "host_reuse",
    "host_add",
    "configuration",
    "configuration",
    "malformed",
)

FAULT_KINDS = (
    "kill",
    "kill_all",
    "pause",
    "link_delay",
    "link_reset",
    "link_one_way",
    "link_silent",
    "peers_delay",
    "peers_reset",
    "peers_one_way",
    "peers_silent",
    "cut_off",
    "store_down",
    "store_slow",
    "store_lost",
    "store_compact",
    "store_revoke",
    "host_crash",
)


RESTORE_INTERVAL_SECONDS = (0.5, 9.0)
"""Bounds of the time between two returns of the store from an older copy."""


def generate_restores(seed: int, seconds: float) -> list[ScheduleEntry]:
    """Return returns of the store from an older copy, in chronological order.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Length of the run.
    """
    random = Random(f"restores of {seed}")
    entries = []
    at = START_SECONDS
    while at < seconds - RECOVERY_SECONDS:
        down_seconds = round(random.uniform(0.2, 3.0), 2)
        entries.append(
            ScheduleEntry(
                round(at, 2), "store_restore", down_seconds, random.getrandbits(30)
            )
        )
        at += down_seconds + random.uniform(*RESTORE_INTERVAL_SECONDS)
    return entries


def generate_evacuations(seed: int, seconds: float) -> list[ScheduleEntry]:
    """Return evacuations and faults of data centres, in chronological order.

    Evacuations come one or two at once, in a fault phase mostly of a data centre that
    is also cut off.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Length of the run.
    """
    random = Random(f"evacuations of {seed}")
    latest_end = seconds - EVACUATION_RECOVERY_SECONDS
    entries = []

    def add(at: float, kind: str, duration: float, pick: int) -> None:
        entries.append(ScheduleEntry(round(at, 2), kind, round(duration, 2), pick))

    at = START_SECONDS
    while at + MIN_EVACUATION_SECONDS <= latest_end:
        pick = random.getrandbits(30)
        ends_at = at
        for number in range(random.choice((1, 1, 2))):
            duration = min(
                random.uniform(MIN_EVACUATION_SECONDS, 10.0), latest_end - at
            )
            add(at, "evacuation", duration, pick + number)
            ends_at = max(ends_at, at + duration)
        if not _is_planned_phase(at) and random.random() < 0.7:
            cut_at = at + random.uniform(0.0, 2.0)
            add(cut_at, "data_centre_cut_off", random.uniform(1.0, 3.0), pick)
        at = ends_at + random.uniform(0.3, 1.5)
    at = START_SECONDS + random.uniform(0.0, 2.0)
    while at < latest_end:
        down_seconds = random.uniform(0.3, 2.5)
        add(at, "servers_restart", down_seconds, random.getrandbits(30))
        at += down_seconds + random.uniform(2.5, 5.0)
    return sorted(entries)


def _is_planned_phase(at: float) -> bool:
    """Return whether a time is in a phase with planned changes only."""
    seconds_into_cycle = (at - START_SECONDS) % (
        FAULT_PHASE_SECONDS + PLANNED_PHASE_SECONDS
    )
    return seconds_into_cycle >= FAULT_PHASE_SECONDS


def generate_unlistings(seed: int, seconds: float) -> list[ScheduleEntry]:
    """Return losses of servers' records, one in each phase of planned changes.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Length of the run.
    """
    random = Random(f"unlistings of {seed}")
    entries = []
    at = START_SECONDS + FAULT_PHASE_SECONDS
    while at + UNLISTED_SECONDS < seconds - RECOVERY_SECONDS:
        begins_at = round(at + random.uniform(0.0, 4.0), 2)
        pick = random.getrandbits(30)
        entries.append(
            ScheduleEntry(begins_at, "host_unlisted", UNLISTED_SECONDS, pick)
        )
        at += FAULT_PHASE_SECONDS + PLANNED_PHASE_SECONDS
    return entries


def generate_schedule(seed: int, seconds: float) -> list[ScheduleEntry]:
    """Return the entries of a run in chronological order.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Length of the run.
    """
    random = Random(seed)
    entries = []
    at = START_SECONDS
    while at < seconds - RECOVERY_SECONDS:
        kind = random.choice(
            PLANNED_KINDS if _is_planned_phase(at) else PLANNED_KINDS + FAULT_KINDS
        )
        duration = round(random.uniform(0.5, 4.0), 2)
        entries.append(
            ScheduleEntry(round(at, 2), kind, duration, random.getrandbits(30))
        )
        at += random.choice(INTERVALS_SECONDS) * random.uniform(0.5, 1.5)
    return entries
