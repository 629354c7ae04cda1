"""Plays days of the users' bench with given seeds on several checkouts, and compares.

``python deploy/play_days.py --bench PATH --checkout NAME=FOLDER... SITE DAY:SEED...``
plays every day in every checkout with the same seeds and prints a table with the worth
of each, then the means and the mean parts of the worth. A day is the name of a standard
day, played with its times and figures varied by the seed, or ``mix``. Journal entries
are written to the checkouts, which must not be in a temporary folder.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import fmean
from typing import NamedTuple


class DaySeed(NamedTuple):
    """A day to play, and the seed that varies it."""

    day: str
    seed: int

    @classmethod
    def parse(cls, text: str) -> "DaySeed":
        """Parse ``DAY:SEED``.

        Raises
        ------
        ValueError
            The seed is missing or no integer.
        """
        day, _, seed = text.rpartition(":")
        return cls(day, int(seed))


class Report(NamedTuple):
    """What one play of a day was worth.

    Parameters
    ----------
    worth : float
        Worth of the day, after prices.
    share_unserved : float
        Share of the requests that were not served.
    parts : dict of str to float
        Parts of the worth by name, with the sum of the prices as ``prices``.
    broken : tuple of str
        Names of the broken rules, and the fault if there was one.
    """

    worth: float
    share_unserved: float
    parts: dict[str, float]
    broken: tuple[str, ...]


def read_report(path: Path) -> Report:
    """Read a report that the bench wrote.

    Raises
    ------
    OSError, ValueError, KeyError
        The report is missing or has another form.
    """
    report = json.loads(path.read_text())
    parts = {name: share for name, _, share in report["parts"]}
    parts["prices"] = sum(price for _, _, price in report["prices"])
    faults = [str(report["fault"])] if report["fault"] else []
    return Report(
        report["G"], report["unserved"], parts, (*sorted(report["breaks"]), *faults)
    )


def table_lines(
    days: Sequence[DaySeed], reports: dict[str, list[Report]]
) -> Iterator[str]:
    """Yield a Markdown row for each day, then means; columns are the checkouts."""
    names = list(reports)
    yield "| day | " + " | ".join(names) + " |"
    yield "| --- |" + " --- |" * len(names)
    for i, (day, seed) in enumerate(days):
        cells = [_cell(reports[name][i]) for name in names]
        yield f"| {day}:{seed} | " + " | ".join(cells) + " |"
    means = [f"{fmean(r.worth for r in reports[name]):.4f}" for name in names]
    yield "| mean worth | " + " | ".join(means) + " |"
    unserved = [fmean(r.share_unserved for r in reports[name]) for name in names]
    yield "| mean unserved | " + " | ".join(f"{u:.4f}" for u in unserved) + " |"
    for part in reports[names[0]][0].parts:
        values = [fmean(r.parts[part] for r in reports[name]) for name in names]
        yield f"| mean {part} | " + " | ".join(f"{v:.4f}" for v in values) + " |"


def play(
    bench: Path,
    checkout: Path,
    site: Path,
    day: DaySeed,
    options: Sequence[str],
    report: Path,
) -> Report:
    """Play a day in a checkout; the bench writes its report to a file.

    Raises
    ------
    SystemExit
        The bench failed.
    """
    command = [str(bench), "run", str(site), day.day, "--seed", str(day.seed)]
    command += [] if day.day == "mix" else ["--vary"]
    command += ["--jobs", "1", "--report", str(report), *options]
    result = subprocess.run(
        command, cwd=checkout, capture_output=True, text=True, check=False
    )
    report.with_suffix(".txt").write_text(result.stdout)
    try:
        return read_report(report)
    except (OSError, ValueError, KeyError) as error:
        print(result.stdout, result.stderr, file=sys.stderr)
        raise SystemExit(f"no report of {day.day}:{day.seed}") from error


def main() -> int:
    """Play the days and print the table; the exit status is 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True, help="bench program")
    parser.add_argument("--checkout", action="append", required=True)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--reports", type=Path, help="folder for the reports")
    parser.add_argument("--why", default="comparison of checkouts")
    parser.add_argument("--no-cpu", action="store_true", help="charge no processor")
    parser.add_argument("site", type=Path)
    parser.add_argument("days", nargs="+", type=DaySeed.parse, metavar="DAY:SEED")
    arguments = parser.parse_args()
    bench, site = arguments.bench.resolve(), arguments.site.resolve()
    options = ["--why", arguments.why, *(["--no-cpu"] if arguments.no_cpu else [])]
    checkouts = {
        name: Path(folder).resolve()
        for name, _, folder in (text.partition("=") for text in arguments.checkout)
    }
    for folder in checkouts.values():
        subprocess.run([bench, "build"], cwd=folder, check=True, capture_output=True)
    reports_folder = arguments.reports or Path(tempfile.mkdtemp(prefix="reports-"))
    reports_folder = reports_folder.resolve()
    reports_folder.mkdir(exist_ok=True)
    print(f"reports in {reports_folder}", file=sys.stderr)
    with ThreadPoolExecutor(arguments.jobs) as executor:
        plays = {
            name: [
                executor.submit(
                    play,
                    bench,
                    folder,
                    site,
                    day,
                    options,
                    reports_folder / f"{name}-{Path(day.day).stem}-{day.seed}.json",
                )
                for day in arguments.days
            ]
            for name, folder in checkouts.items()
        }
        reports = {
            name: [future.result() for future in futures]
            for name, futures in plays.items()
        }
    print(*table_lines(arguments.days, reports), sep="\n")
    return int(any(r.broken for rows in reports.values() for r in rows))


def _cell(report: Report) -> str:
    broken = f" broken: {', '.join(report.broken)}" if report.broken else ""
    return f"{report.worth:.3f}{broken}"


if __name__ == "__main__":
    sys.exit(main())
