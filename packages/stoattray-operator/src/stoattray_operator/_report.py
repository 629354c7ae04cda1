"""Summary of log lines: counts of events by kind, backend server and balancer."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator._log_lines import LogLine
from stoattray_operator._tables import format_table

PLOTTED_EVENTS = ("flow_opened", "opening_tried_again", "packet_refused")
"""Events whose rate is plotted."""

SERVER_EVENTS = {
    "flow_opened": "server",
    "opening_tried_again": "silent",
    "backend_server_silent": "server",
    "backend_server_failing": "server",
}
"""Events counted per backend server, with the field that names the server."""

LIFECYCLE_EVENTS = ("started", "ready", "woke", "store_lost", "stopping", "stopped")
N_LISTED_SERVERS = 20
"""Limit on backend servers in a report, those with the most events first."""


@dataclass(slots=True)
class Report:
    """Counts over the log lines of any number of balancers.

    Parameters
    ----------
    first_timestamp, last_timestamp : str
        Times of the first and last line.
    n_lines_by_event : Counter
        Lines by event.
    n_left_out_by_event : Counter
        Events that rate limits of balancers kept out of their logs, by event.
    n_refusals : Counter
        Logged refused packets by kind and outcome.
    by_server : dict of str to Counter
        Events of `SERVER_EVENTS` by backend server.
    by_balancer : dict of str to Counter
        Lines by event for each balancer.
    n_flows_between : Counter
        Logged `flow_opened` lines by the data centres of balancer and backend server.
    by_second : dict of str to Counter
        Lines by second for each of `PLOTTED_EVENTS`.
    """

    first_timestamp: str = ""
    last_timestamp: str = ""
    n_lines_by_event: Counter[str] = field(default_factory=Counter)
    n_left_out_by_event: Counter[str] = field(default_factory=Counter)
    n_refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_server: dict[str, Counter[str]] = field(default_factory=dict)
    by_balancer: dict[str, Counter[str]] = field(default_factory=dict)
    n_flows_between: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_second: dict[str, Counter[str]] = field(
        default_factory=lambda: {name: Counter() for name in PLOTTED_EVENTS}
    )

    def add(self, line: LogLine) -> None:
        """Count one line."""
        self.first_timestamp = min(
            self.first_timestamp or line.timestamp, line.timestamp
        )
        self.last_timestamp = max(self.last_timestamp, line.timestamp)
        self.n_lines_by_event[line.event] += 1
        self.by_balancer.setdefault(line.origin, Counter())[line.event] += 1
        if line.event == "events_left_out":
            count = line.fields.get("n_events", "")
            self.n_left_out_by_event[line.fields.get("kind", "")] += (
                int(count) if count.isdigit() else 0
            )
        elif line.event == "packet_refused":
            kind = line.fields.get("kind", "")
            helper = line.fields.get("helper")
            outcome = "reset" if line.fields.get("is_reset") == "True" else "dropped"
            self.n_refusals[kind, "handed over" if helper else outcome] += 1
        opened_in = line.fields.get("opened_in")
        if line.event == "flow_opened" and opened_in is not None:
            data_centre = line.fields.get("data_centre", "")
            self.n_flows_between[opened_in, data_centre] += 1
        server = line.fields.get(SERVER_EVENTS.get(line.event, ""))
        if server is not None:
            self.by_server.setdefault(server, Counter())[line.event] += 1
        if line.event in self.by_second:
            self.by_second[line.event][line.timestamp[:19]] += 1


def build_report(lines: Iterable[LogLine]) -> Report:
    """Return the counts over `lines`, which may come in any order."""
    report = Report()
    for line in lines:
        report.add(line)
    return report


def format_report(report: Report) -> Iterator[str]:
    """Yield the tables of a report as text."""
    yield (
        f"{report.first_timestamp} to {report.last_timestamp}, "
        f"{len(report.by_balancer)} balancers"
    )
    yield "\nEvents; those left out were counted by balancers but not logged"
    names = sorted(report.n_lines_by_event | report.n_left_out_by_event)
    rows = [
        (name, report.n_lines_by_event[name], report.n_left_out_by_event[name])
        for name in names
    ]
    yield format_table(("EVENT", "WRITTEN", "LEFT OUT"), rows)
    if report.n_refusals:
        yield "\nRefused packets, only those logged"
        rows = [(*key, count) for key, count in report.n_refusals.most_common()]
        yield format_table(("KIND", "OUTCOME", "PACKETS"), rows)
    if report.by_server:
        yield f"\nBackend servers, at most {N_LISTED_SERVERS} with the most lines"
        busiest = sorted(report.by_server.items(), key=lambda item: -item[1].total())
        names = tuple(SERVER_EVENTS)
        yield _format_counts("BACKEND SERVER", busiest[:N_LISTED_SERVERS], names)
    if report.n_flows_between:
        yield "\nFlows between data centres, only those logged, from row to column"
        yield _format_matrix(report.n_flows_between)
    yield "\nBalancers"
    yield _format_counts(
        "BALANCER", sorted(report.by_balancer.items()), LIFECYCLE_EVENTS
    )


def plot_report(report: Report, path: Path) -> None:
    """Plot event rates into an image file.

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
    start = datetime.fromisoformat(report.first_timestamp[:19])
    for name, counts in report.by_second.items():
        seconds = sorted(counts)
        offsets_seconds = [
            (datetime.fromisoformat(at) - start).total_seconds() for at in seconds
        ]
        axes.plot(offsets_seconds, [counts[at] for at in seconds], label=name)
    axes.set_xlabel(f"seconds from {report.first_timestamp}")
    axes.set_ylabel("lines a second")
    axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, f"{path}: {error}") from error


def _format_matrix(counts: Counter[tuple[str, str]]) -> str:
    """Return a table with the sources as rows, the destinations, and what left."""
    names = sorted({name for pair in counts for name in pair})
    rows = []
    for source in sorted({source for source, _ in counts}):
        n_flows = [counts[source, name] for name in names]
        left = 1.0 - counts[source, source] / sum(n_flows)
        rows.append((source, *n_flows, f"{left:.1%}"))
    return format_table(("DATA CENTRE", *names, "LEFT"), rows)


def _format_counts(
    head: str, counts: Iterable[tuple[str, Counter[str]]], events: tuple[str, ...]
) -> str:
    rows = [(name, *(counter[event] for event in events)) for name, counter in counts]
    return format_table((head, *(event.upper() for event in events)), rows)
