"""Runs one case: sets the world up, runs it, writes record.txt, tells the result."""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from world import CannotRunError, World, has_trouble

HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(
    directory: Path,
    prepare: Callable[[], World],
    play: Callable[[World], Awaitable[list[str]]],
) -> int:
    """Run a case and return the exit status.

    Parameters
    ----------
    directory : Path
        Folder of the case.
    prepare : callable
        Returns the deployment, with hosts and a configuration.
    play : callable
        Plays the case and returns what breaks the rule.
    """
    return asyncio.run(_run(directory, prepare, play))


async def _run(
    directory: Path,
    prepare: Callable[[], World],
    play: Callable[[World], Awaitable[list[str]]],
) -> int:
    started_at = time.monotonic()
    world = prepare()
    status, found = NOT_RUN, []
    try:
        await world.start()
        found = await play(world)
        status = BROKEN if found else HELD
    except CannotRunError as error:
        world.note(f"could not run: {error}")
    finally:
        if "--logs" in sys.argv:
            world.save_logs(Path(sys.argv[sys.argv.index("--logs") + 1]))
        world.stop()
    text = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    trouble = "with" if has_trouble() else "without"
    head = [
        f"{trouble} the disruption: {text[status]}, {len(found)} times",
        f"took {time.monotonic() - started_at:.1f} s",
        *(f"broken: {line}" for line in found[:200]),
        "",
        *world.notes,
        "",
        *world.flow_lines(),
    ]
    (directory / "record.txt").write_text("\n".join(head) + "\n", encoding="utf-8")
    print("\n".join(head[:12]))
    return status
