"""Command line of the soak: ``python deploy/soak --seed 1 --seconds 30``.

Prints one JSON report a seed. A seed that broke a promise keeps its logs, and the
exit status is 1. ``--replay FILE`` plays the seed of a report again.
"""

import argparse
import json
import shutil
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from run import play

DEFAULT_SECONDS = 30.0


def main() -> int:
    """Play the runs that the command line asks for."""
    parser = argparse.ArgumentParser(prog="soak", description="Fault soak.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--minutes", type=float, help="fresh seeds for so long")
    parser.add_argument("--processes", type=int, default=4, help="balancers")
    parser.add_argument("--replay", type=Path, help="report whose seed is played")
    arguments = parser.parse_args()
    n_broken = 0
    for seed in _seeds(arguments):
        report, folder = play(seed, arguments.seconds, arguments.processes)
        if report["violations"]:
            n_broken += 1
            report["logs"] = str(folder)
        else:
            shutil.rmtree(folder)
        print(json.dumps(report), flush=True)
    return 1 if n_broken else 0


def _seeds(arguments: argparse.Namespace) -> Iterator[int]:
    if arguments.replay is not None:
        yield json.loads(arguments.replay.read_text())["seed"]
        return
    ends = time.monotonic() + 60 * (arguments.minutes or 0)
    seed = arguments.seed
    while seed < arguments.seed + arguments.seeds or time.monotonic() < ends:
        yield seed
        seed += 1


if __name__ == "__main__":
    sys.exit(main())
