"""Faults and planned changes, drawn from a seed; the same seed draws the same."""

from random import Random
from typing import NamedTuple

FIRST_SECOND = 2.0
FAULT_SECONDS = 8.0
"""Length of a phase with faults of every kind, overlapping."""

PLANNED_SECONDS = 16.0
"""Length of a phase with planned changes only, which have to cut nothing; bounds in
time hold from its fifth second on."""

CALM_SECONDS = 6.0
"""Each run ends calm, so that recovery is seen."""

PAUSES = (0.3, 1.0, 2.5)
"""Short pauses make entries overlap, long ones let them come in series."""


class Entry(NamedTuple):
    """What is injected when, for how long, and a number that picks where."""

    at: float
    kind: str
    seconds: float
    pick: int


PLANNED = (
    "roll",
    "reload",
    "host_drain",
    "host_reuse",
    "host_add",
    "configuration",
    "configuration",
    "malformed",
)

FAULTS = (
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


def draw_schedule(seed: int, seconds: float) -> list[Entry]:
    """Return the entries of a run, in order of time.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Length of the run.
    """
    random = Random(seed)
    entries = []
    at = FIRST_SECOND
    while at < seconds - CALM_SECONDS:
        phase = (at - FIRST_SECOND) % (FAULT_SECONDS + PLANNED_SECONDS)
        is_planned = phase >= FAULT_SECONDS
        kind = random.choice(PLANNED if is_planned else PLANNED + FAULTS)
        duration = round(random.uniform(0.5, 4.0), 2)
        entries.append(Entry(round(at, 2), kind, duration, random.getrandbits(30)))
        at += random.choice(PAUSES) * random.uniform(0.5, 1.5)
    return entries
