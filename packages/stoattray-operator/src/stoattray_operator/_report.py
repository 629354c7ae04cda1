"""What the log lines of a run add up to: openings, refusals, servers, dependencies."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator._log_lines import LogLine
from stoattray_operator._tables import format_table

PLOTTED = ("flow_opened", "opening_tried_again", "packet_refused")
"""Events whose number per second is drawn."""

SERVER_EVENTS = {
    "flow_opened": "server",
    "opening_tried_again": "silent",
    "backend_server_silent": "server",
    "backend_server_failing": "server",
}
"""Events that count for a backend server, and the field that names it."""

LIFE_EVENTS = ("started", "ready", "woke", "store_lost", "stopping", "stopped")
N_SERVERS = 20
"""Backend servers listed, those with the most events first."""


@dataclass(slots=True)
class Report:
    """Counts over the lines of any number of balancers.

    Parameters
    ----------
    first, last : str
        Times of the first and last line.
    events : Counter
        Lines by event.
    left_out : Counter
        Events that balancers counted and did not write, by event.
    refusals : Counter
        Refused packets that were written, by kind and whether they were reset.
    by_server : dict of str to Counter
        Events of `SERVER_EVENTS` by backend server.
    by_balancer : dict of str to Counter
        Lines by event for each balancer.
    by_second : dict of str to Counter
        Lines by second, for each of `PLOTTED`.
    """

    first: str = ""
    last: str = ""
    events: Counter[str] = field(default_factory=Counter)
    left_out: Counter[str] = field(default_factory=Counter)
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_server: dict[str, Counter[str]] = field(default_factory=dict)
    by_balancer: dict[str, Counter[str]] = field(default_factory=dict)
    by_second: dict[str, Counter[str]] = field(
        default_factory=lambda: {name: Counter() for name in PLOTTED}
    )

    def add(self, line: LogLine) -> None:
        """Count one line."""
        self.first = min(self.first or line.when, line.when)
        self.last = max(self.last, line.when)
        self.events[line.event] += 1
        self.by_balancer.setdefault(line.origin, Counter())[line.event] += 1
        if line.event == "events_left_out":
            count = line.fields.get("n_events", "")
            self.left_out[line.fields.get("kind", "")] += (
                int(count) if count.isdigit() else 0
            )
        elif line.event == "packet_refused":
            kind = line.fields.get("kind", "")
            helper = line.fields.get("helper")
            outcome = "reset" if line.fields.get("is_reset") == "True" else "dropped"
            self.refusals[kind, "handed over" if helper else outcome] += 1
        server = line.fields.get(SERVER_EVENTS.get(line.event, ""))
        if server is not None:
            self.by_server.setdefault(server, Counter())[line.event] += 1
        if line.event in self.by_second:
            self.by_second[line.event][line.when[:19]] += 1


def make_report(lines: Iterable[LogLine]) -> Report:
    """Return the counts over `lines`, which may come in any order."""
    report = Report()
    for line in lines:
        report.add(line)
    return report


def format_report(report: Report) -> Iterator[str]:
    """Yield a report as text, one table after the other."""
    yield f"{report.first} to {report.last}, {len(report.by_balancer)} balancers"
    yield "\nEvents; those left out were counted by balancers and not written"
    names = sorted(report.events | report.left_out)
    rows = [(name, report.events[name], report.left_out[name]) for name in names]
    yield format_table(("EVENT", "WRITTEN", "LEFT OUT"), rows)
    if report.refusals:
        yield "\nRefused packets, of those written"
        rows = [(*key, count) for key, count in report.refusals.most_common()]
        yield format_table(("KIND", "OUTCOME", "PACKETS"), rows)
    if report.by_server:
        yield f"\nBackend servers, the {N_SERVERS} with the most lines at most"
        most = sorted(report.by_server.items(), key=lambda item: -item[1].total())
        names = tuple(SERVER_EVENTS)
        yield _counts_table("BACKEND SERVER", most[:N_SERVERS], names)
    yield "\nBalancers"
    yield _counts_table("BALANCER", sorted(report.by_balancer.items()), LIFE_EVENTS)


def plot_report(report: Report, path: Path) -> None:
    """Draw the plotted events per second into an image.

    Raises
    ------
    StoattrayError
        If matplotlib is missing, or the image can't be written.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        reason = "plots need matplotlib: pip install 'stoattray-operator[plot]'"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from error
    figure = Figure(figsize=(9.0, 4.0), layout="constrained")
    axes = figure.subplots()
    start = datetime.fromisoformat(report.first[:19])
    for name, counts in report.by_second.items():
        seconds = sorted(counts)
        ages = [(datetime.fromisoformat(at) - start).total_seconds() for at in seconds]
        axes.plot(ages, [counts[at] for at in seconds], label=name)
    axes.set_xlabel(f"seconds from {report.first}")
    axes.set_ylabel("lines a second")
    axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, f"{path}: {error}") from error


def _counts_table(
    head: str, counts: Iterable[tuple[str, Counter[str]]], events: tuple[str, ...]
) -> str:
    rows = [(name, *(counter[event] for event in events)) for name, counter in counts]
    return format_table((head, *(event.upper() for event in events)), rows)
