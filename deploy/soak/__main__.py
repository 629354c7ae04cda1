"""Command line of the soak: ``python deploy/soak --seed 1 --seconds 30``.

Prints one JSON report per seed. If a seed violates an invariant, its logs are kept and
the exit status is 1. ``--replay FILE`` runs the failing seeds of a report file again,
or all of its seeds if none failed.
"""

import argparse
import json
import shutil
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from fleet import BALANCER_MAIN
from run import execute_run

DEFAULT_SECONDS = 30.0


def main() -> int:
    """Execute the runs that the command line requests."""
    parser = argparse.ArgumentParser(prog="soak", description="Fault soak.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--minutes", type=float, help="run new seeds for this long")
    parser.add_argument("--processes", type=int, default=4, help="number of balancers")
    parser.add_argument(
        "--restores",
        action="store_true",
        help="the store also returns from older copies",
    )
    parser.add_argument(
        "--evacuations",
        action="store_true",
        help="data centres are evacuated, and their servers restart cold together",
    )
    parser.add_argument(
        "--losses",
        action="store_true",
        help="answers to openings are lost, callers pause and use ports again, and "
        "servers lose their records",
    )
    parser.add_argument(
        "--beside",
        type=Path,
        metavar="MAIN",
        help="__main__.py of another build; every balancer runs both builds in turn",
    )
    parser.add_argument(
        "--replay", type=Path, help="report whose failing seeds are run again"
    )
    parser.add_argument(
        "--report", type=Path, help="file to which all reports are also written"
    )
    arguments = parser.parse_args()
    reports = []
    for seed in _seeds(arguments):
        report, log_directory = execute_run(
            seed,
            arguments.seconds,
            arguments.processes,
            has_restores=arguments.restores,
            has_evacuations=arguments.evacuations,
            has_losses=arguments.losses,
            mains=_mains(arguments.beside),
        )
        if report["violations"]:
            report["logs"] = str(log_directory)
        else:
            shutil.rmtree(log_directory)
        print(json.dumps(report), flush=True)
        reports.append(report)
        if arguments.report is not None:
            arguments.report.write_text(json.dumps(reports, indent=1))
    return 1 if any(report["violations"] for report in reports) else 0


def _mains(beside: Path | None) -> tuple[Path, ...]:
    """Return the programs that balancers run in turn."""
    return (BALANCER_MAIN,) if beside is None else (BALANCER_MAIN, beside.resolve())


def _seeds(arguments: argparse.Namespace) -> Iterator[int]:
    if arguments.replay is not None:
        reports = json.loads(arguments.replay.read_text())
        failing = [report["seed"] for report in reports if report["violations"]]
        yield from failing or [report["seed"] for report in reports]
        return
    deadline = time.monotonic() + 60 * (arguments.minutes or 0)
    seed = arguments.seed
    while seed < arguments.seed + arguments.seeds or time.monotonic() < deadline:
        yield seed
        seed += 1


if __name__ == "__main__":
    sys.exit(main())
