"""Runs the play of one case and turns its result into an exit status."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import CouldNotRun
from standins.record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if its rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    try:
        is_broken = asyncio.run(play(record))
        status = BROKEN if is_broken else HELD
    except (CouldNotRun, OSError) as error:
        record(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    verdict = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status]
    record(f"result: {verdict}")
    print(verdict)
    record.close()
    sys.exit(status)
