"""Plays sites of the users' bench on this commit and an older one, side by side.

``python deploy/compare_scores.py --bench PATH --against COMMIT SITE...`` clones both
commits beside the repository's folder, plays the standard days of each site in both,
one after the other, and prints a table with the worth of each day. Journal entries stay
in the clones, whose folders are printed.
"""

import argparse
import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DAY = re.compile(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(\d\.\d+)\s+\d\.\d+")
"""A row of the bench's table: day, machines, score, worth, share served."""

MAX_LOSS = 0.02
"""Loss of worth from which a day is marked; the bench's own noise is up to 0.03 of a
site."""


def read_worths(output: str) -> dict[str, float]:
    """Return the worth of each standard day in the output of a score."""
    rows = (DAY.match(line) for line in output.splitlines())
    return {
        row[1]: float(row[2])
        for row in rows
        if row is not None and not row[1].startswith("fresh-")
    }


def table_lines(
    site: str, before: dict[str, float], after: dict[str, float]
) -> Iterator[str]:
    """Yield a Markdown row for each day of a site."""
    for day in before.keys() | after.keys():
        old, new = before.get(day), after.get(day)
        if old is None or new is None:
            yield f"| {site} | {day} | {old} | {new} | not played |"
            continue
        mark = "lower" if new <= old - MAX_LOSS else ""
        yield f"| {site} | {day} | {old:.3f} | {new:.3f} | {mark} |"


def main() -> int:
    """Play the sites and print the table; the exit status is 1 if a day is lower."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True, help="bench program")
    parser.add_argument("--against", required=True, help="older commit")
    parser.add_argument("--quick", action="store_true", help="only the light days")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("sites", nargs="+", type=Path)
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="compare-", dir=ROOT.parent))
    print(f"clones in {folder}", file=sys.stderr)
    clones = {
        commit: _clone(commit, folder / name)
        for name, commit in (("before", arguments.against), ("after", "HEAD"))
    }
    print("| site | day | before | after | |\n| --- | --- | --- | --- | --- |")
    is_lower = False
    for site in arguments.sites:
        options = ["--jobs", str(arguments.jobs)]
        options += ["--quick"] if arguments.quick else []
        command = [str(arguments.bench.resolve()), "score", str(site.resolve())]
        before, after = (
            read_worths(_run([*command, *options], clone)) for clone in clones.values()
        )
        for line in sorted(table_lines(site.stem, before, after)):
            is_lower |= line.endswith("lower |")
            print(line, flush=True)
    return int(is_lower)


def _clone(commit: str, folder: Path) -> Path:
    _run(["git", "clone", "--quiet", str(ROOT), str(folder)], ROOT)
    _run(["git", "checkout", "--quiet", commit], folder)
    return folder


def _run(command: list[str], folder: Path) -> str:
    result = subprocess.run(
        command, cwd=folder, stdout=subprocess.PIPE, text=True, check=False
    )
    if result.returncode:
        raise SystemExit(f"{command[0]} ended with status {result.returncode}")
    return result.stdout


if __name__ == "__main__":
    sys.exit(main())
