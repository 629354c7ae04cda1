"""Commands that read balancers' logs."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator._explain import explain
from stoattray_operator._log_lines import LogLine, read_log_lines
from stoattray_operator._report import build_report, format_report, plot_report
from stoattray_operator.client import Client


def add_log_commands(commands: Any) -> None:
    """Add the commands to a command line's parser."""
    _add_explain(commands)
    _add_report(commands)


def _add_explain(commands: Any) -> None:
    explain = commands.add_parser(
        "explain", help="show the log events about a flow or backend server"
    )
    explain.add_argument(
        "id", help="flow, address:port of one of its endpoints, or backend server"
    )
    explain.add_argument("files", nargs="*", help="log files; default: stdin")
    explain.set_defaults(run=_explain)


def _explain(_: Client, arguments: argparse.Namespace) -> int:
    lines = list(_read_logs(arguments.files))
    explanation = list(explain(lines, arguments.id))
    if not explanation:
        raise StoattrayError(
            ErrorKind.NOT_FOUND, f"no line names {arguments.id!r} among {len(lines)}"
        )
    print("\n".join(explanation))
    return 0


def _add_report(commands: Any) -> None:
    report = commands.add_parser(
        "report", help="count log events by kind, backend server and balancer"
    )
    report.add_argument("files", nargs="*", help="log files; default: stdin")
    report.add_argument(
        "--plot", type=Path, metavar="IMAGE", help="plot event rates; needs [plot]"
    )
    report.set_defaults(run=_report)


def _report(_: Client, arguments: argparse.Namespace) -> int:
    report = build_report(_read_logs(arguments.files))
    if not report.n_lines_by_event:
        raise StoattrayError(ErrorKind.NOT_FOUND, "no log lines of balancers")
    for text in format_report(report):
        print(text)
    if arguments.plot is not None:
        plot_report(report, arguments.plot)
    return 0


def _read_logs(names: Sequence[str]) -> Iterator[LogLine]:
    """Yield the events in files, or in standard input if there are no files."""
    if not names:
        yield from read_log_lines(sys.stdin, "stdin")
    for name in names:
        path = Path(name)
        with path.open(errors="replace") as file:
            yield from read_log_lines(file, path.stem)
