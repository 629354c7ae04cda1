"""Command line of the soak: ``python deploy/soak --seed 1 --seconds 30``.

Prints one JSON report a seed. A seed that broke a promise keeps its logs, and the
exit status is 1. ``--replay FILE`` plays the broken seeds of a report file again, or
all of them where none broke.
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
    parser.add_argument("--report", type=Path, help="also write all reports here")
    arguments = parser.parse_args()
    reports = []
    for seed in _seeds(arguments):
        report, folder = play(seed, arguments.seconds, arguments.processes)
        if report["violations"]:
            report["logs"] = str(folder)
        else:
            shutil.rmtree(folder)
        print(json.dumps(report), flush=True)
        reports.append(report)
        if arguments.report is not None:
            arguments.report.write_text(json.dumps(reports, indent=1))
    return 1 if any(report["violations"] for report in reports) else 0


def _seeds(arguments: argparse.Namespace) -> Iterator[int]:
    if arguments.replay is not None:
        reports = json.loads(arguments.replay.read_text())
        broken = [report["seed"] for report in reports if report["violations"]]
        yield from broken or [report["seed"] for report in reports]
        return
    ends = time.monotonic() + 60 * (arguments.minutes or 0)
    seed = arguments.seed
    while seed < arguments.seed + arguments.seeds or time.monotonic() < ends:
        yield seed
        seed += 1


if __name__ == "__main__":
    sys.exit(main())
