"""Plays days of the users' bench on several variants of the code, and compares them.

``compare.py checkouts --bench PATH --checkout NAME=FOLDER... SITE DAY...`` plays the
days in the checkouts named.
``compare.py commit --bench PATH --against COMMIT SITE DAY...`` plays them on clones of
an older commit and of the present one.
``compare.py ablation --bench PATH [--mechanism NAME]... SITE DAY...`` plays them on
clones in which one mechanism each is replaced by a null implementation, and twice on
the untouched code, which shows the noise.

A day is ``DAY:SEED``, a standard day with its times and figures varied by the seed, or
``mix:SEED``, or a standard day as it is (``DAY``); without days, all standard days. The
table has the worth of each day in each variant, then means of worth and its parts, and
the lines of code that serve only the mechanism. Clones are made beside the repository,
since the bench does not play in temporary folders; journal entries stay in them.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import fmean
from typing import NamedTuple

from mechanisms import MECHANISMS

ROOT = Path(__file__).resolve().parent.parent
UNTOUCHED = "untouched"
MAX_LOSS = 0.02
"""Loss of worth against the first variant from which a day is marked; the bench's own
noise is up to 0.03 of a site."""


class DaySeed(NamedTuple):
    """A day to play, and the seed that varies it; None for a standard day as it is."""

    day: str
    seed: int | None

    @classmethod
    def parse(cls, text: str) -> "DaySeed":
        """Parse ``DAY:SEED`` or ``DAY``.

        Raises
        ------
        ValueError
            The seed is no integer, or the day's name is empty.
        """
        day, has_seed, seed = text.partition(":")
        if not day:
            raise ValueError(f"{text!r} names no day")
        return cls(day, int(seed) if has_seed else None)

    def __str__(self) -> str:
        return self.day if self.seed is None else f"{self.day}:{self.seed}"


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


def standard_days(site: Path) -> list[DaySeed]:
    """Return the standard days of a site file."""
    with site.open("rb") as file:
        return [DaySeed(day["name"], None) for day in tomllib.load(file)["day"]]


def table_lines(
    days: Sequence[DaySeed],
    reports: Mapping[str, Sequence[Report | None]],
    n_lines: Mapping[str, int] | None = None,
) -> Iterator[str]:
    """Yield a Markdown row for each day, then means; columns are the variants.

    Means are over the days that were played in every variant.
    """
    names = list(reports)
    yield "| day | " + " | ".join(names) + " |"
    yield "| --- |" + " --- |" * len(names)
    for i, day in enumerate(days):
        first = reports[names[0]][i]
        cells = [_cell(reports[name][i], first) for name in names]
        yield f"| {day} | " + " | ".join(cells) + " |"
    played = [i for i in range(len(days)) if all(reports[name][i] for name in names)]
    if not played:
        return
    rows = {name: [r for i in played if (r := reports[name][i])] for name in names}
    yield _mean_line("worth", {n: [r.worth for r in rows[n]] for n in names})
    unserved = {n: [r.share_unserved for r in rows[n]] for n in names}
    yield _mean_line("unserved", unserved)
    for part in rows[names[0]][0].parts:
        yield _mean_line(part, {n: [r.parts[part] for r in rows[n]] for n in names})
    if n_lines is not None:
        cells = [str(n_lines.get(name, 0)) for name in names]
        yield "| lines of code | " + " | ".join(cells) + " |"


def play(
    bench: Path,
    checkout: Path,
    site: Path,
    day: DaySeed,
    options: Sequence[str],
    report: Path,
) -> Report | None:
    """Play a day in a checkout; return None if the bench wrote no report."""
    command = [str(bench), "run", str(site), day.day]
    command += [] if day.seed is None else ["--seed", str(day.seed)]
    command += [] if day.seed is None or day.day == "mix" else ["--vary"]
    command += ["--jobs", "1", "--report", str(report), *options]
    result = subprocess.run(
        command, cwd=checkout, capture_output=True, text=True, check=False
    )
    report.with_suffix(".txt").write_text(result.stdout)
    try:
        return read_report(report)
    except (OSError, ValueError, KeyError) as error:
        print(result.stdout, result.stderr, file=sys.stderr)
        print(f"no report of {day}: {error!r}", file=sys.stderr)
        return None


def clone(folder: Path, commit: str = "HEAD") -> Path:
    """Return a new clone of the repository at a commit."""
    subprocess.run(["git", "clone", "--quiet", ROOT, folder], check=True)
    subprocess.run(["git", "checkout", "--quiet", commit], cwd=folder, check=True)
    return folder


def ablated_clones(folder: Path, names: Sequence[str]) -> dict[str, Path]:
    """Return two untouched clones, and one without each mechanism."""
    clones = {
        name: clone(folder / name.replace(" ", "-"))
        for name in (UNTOUCHED, f"{UNTOUCHED} again", *names)
    }
    for name in names:
        for replacement in MECHANISMS[name].replacements:
            replacement.apply(clones[name])
        command = ["git", "commit", "--quiet", "--all", "--message", f"no {name}"]
        subprocess.run(command, cwd=clones[name], check=True)
    return clones


def main() -> int:
    """Play the days and print the table; the exit status is 1 if a rule was broken."""
    arguments = _parser().parse_args()
    site = arguments.site.resolve()
    days = arguments.days or standard_days(site)
    checkouts = arguments.find_checkouts(arguments)
    reports = _play_all(arguments, site, days, checkouts)
    n_lines = None
    if arguments.find_checkouts is _ablated:
        n_lines = {n: MECHANISMS[n].n_lines(ROOT) for n in checkouts if n in MECHANISMS}
    print(*table_lines(days, reports, n_lines), sep="\n")
    return int(any(r is None or r.broken for rows in reports.values() for r in rows))


def _play_all(
    arguments: argparse.Namespace,
    site: Path,
    days: Sequence[DaySeed],
    checkouts: Mapping[str, Path],
) -> dict[str, list[Report | None]]:
    bench = arguments.bench.resolve()
    options = ["--why", arguments.why, *(["--no-cpu"] if arguments.no_cpu else [])]
    for folder in checkouts.values():
        subprocess.run([bench, "build"], cwd=folder, check=True, capture_output=True)
    folder = arguments.reports or Path(tempfile.mkdtemp(prefix="reports-"))
    folder = folder.resolve()
    folder.mkdir(exist_ok=True)
    print(f"reports in {folder}", file=sys.stderr)
    # Variants of a day are played next to each other, beside the same load.
    plays: dict[str, list] = {name: [] for name in checkouts}
    with ThreadPoolExecutor(arguments.jobs) as executor:
        for day in days:
            for name, checkout in checkouts.items():
                stem = f"{site.stem}-{name}-{Path(day.day).stem}-{day.seed}"
                report = folder / f"{stem.replace(' ', '-')}.json"
                plays[name].append(
                    executor.submit(play, bench, checkout, site, day, options, report)
                )
    return {name: [f.result() for f in futures] for name, futures in plays.items()}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    modes = parser.add_subparsers(required=True, metavar="MODE")
    checkouts = modes.add_parser("checkouts", help="checkouts that are there")
    checkouts.add_argument("--checkout", action="append", required=True)
    checkouts.set_defaults(find_checkouts=_named)
    commit = modes.add_parser("commit", help="an older commit and the present one")
    commit.add_argument("--against", required=True, help="older commit")
    commit.set_defaults(find_checkouts=_commits)
    ablation = modes.add_parser("ablation", help="without one mechanism each")
    ablation.add_argument(
        "--mechanism", action="append", choices=MECHANISMS, help="all by default"
    )
    ablation.set_defaults(find_checkouts=_ablated)
    for mode in (checkouts, commit, ablation):
        mode.add_argument("--bench", type=Path, required=True, help="bench program")
        mode.add_argument("--jobs", type=int, default=3, help="days at a time")
        mode.add_argument("--reports", type=Path, help="folder for the reports")
        mode.add_argument("--why", default="comparison", help="line for the journal")
        mode.add_argument("--no-cpu", action="store_true", help="charge no processor")
        mode.add_argument("site", type=Path)
        mode.add_argument("days", nargs="*", type=DaySeed.parse, metavar="DAY[:SEED]")
    return parser


def _named(arguments: argparse.Namespace) -> dict[str, Path]:
    pairs = (text.partition("=") for text in arguments.checkout)
    return {name: Path(folder).resolve() for name, _, folder in pairs}


def _commits(arguments: argparse.Namespace) -> dict[str, Path]:
    folder = _clones_folder()
    return {
        "before": clone(folder / "before", arguments.against),
        "after": clone(folder / "after"),
    }


def _ablated(arguments: argparse.Namespace) -> dict[str, Path]:
    return ablated_clones(_clones_folder(), arguments.mechanism or list(MECHANISMS))


def _clones_folder() -> Path:
    folder = Path(tempfile.mkdtemp(prefix="compare-", dir=ROOT.parent))
    print(f"clones in {folder}", file=sys.stderr)
    return folder


def _mean_line(title: str, values: Mapping[str, Sequence[float]]) -> str:
    cells = [f"{fmean(column):.4f}" for column in values.values()]
    return f"| mean {title} | " + " | ".join(cells) + " |"


def _cell(report: Report | None, first: Report | None) -> str:
    if report is None:
        return "not played"
    cell = f"{report.worth:.3f}"
    if first is not None and round(first.worth - report.worth, 3) >= MAX_LOSS:
        cell += " lower"
    if report.broken:
        cell += f" broken: {', '.join(report.broken)}"
    return cell


if __name__ == "__main__":
    sys.exit(main())
