"""Commands that show which balancers serve a revision, and event counts."""

import argparse
import json
import time
from typing import Any

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator._arguments import add_output
from stoattray_operator._tables import format_table
from stoattray_operator.client import Client

MAX_STATUS_WAIT_SECONDS = 30.0
WATCH_PERIOD_SECONDS = 1.0
EVACUATION_HEADER = ("EVACUATED DATA CENTRE", "REVISION", "BACKEND SERVERS")


def add_status_commands(commands: Any) -> None:
    """Add the commands to a command line's parser."""
    _add_wait(commands)
    _add_status(commands)


def _add_wait(commands: Any) -> None:
    wait = commands.add_parser("wait", help="wait until a revision is in force")
    wait.add_argument("--for", dest="condition", choices=["in-force"], required=True)
    wait.add_argument("--revision", type=int, required=True)
    wait.add_argument("--timeout", type=float, default=30.0, help="in seconds")
    add_output(wait)
    wait.set_defaults(run=_wait)


def _add_status(commands: Any) -> None:
    status = commands.add_parser(
        "status", help="show which balancers have a revision in force"
    )
    status.add_argument("--revision", type=int)
    add_output(status)
    status.set_defaults(run=_status)
    watch = commands.add_parser("watch", help="print the status whenever it changes")
    watch.add_argument("--revision", type=int)
    watch.set_defaults(run=_watch)
    counters = commands.add_parser("counters", help="show a balancer's event counts")
    counters.set_defaults(run=_counters)


def _wait(_: Client, arguments: argparse.Namespace) -> int:
    """Wait until the revision is in force in each group of balancers."""
    deadline = time.monotonic() + arguments.timeout
    for client in arguments.clients:
        status = _wait_until_in_force(client, arguments.revision, deadline)
        print_status(status, arguments.output)
        if not status["in_force"]:
            missing = ",".join(status["lack"]) or "no balancer reachable"
            reason = f"revision {arguments.revision} is not in force: {missing}"
            raise StoattrayError(ErrorKind.DEADLINE_EXCEEDED, reason)
    return 0


def _wait_until_in_force(
    client: Client, revision: int, deadline: float
) -> dict[str, Any]:
    while True:
        remaining_seconds = max(0.0, deadline - time.monotonic())
        status = client.get_status(
            revision, min(remaining_seconds, MAX_STATUS_WAIT_SECONDS)
        )
        if status["in_force"] or time.monotonic() >= deadline:
            return status


def _status(client: Client, arguments: argparse.Namespace) -> int:
    print_status(client.get_status(arguments.revision), arguments.output)
    return 0


def _watch(client: Client, arguments: argparse.Namespace) -> int:
    printed = None
    while True:
        status = client.get_status(arguments.revision)
        if status != printed:
            print(json.dumps(status), flush=True)
            printed = status
        time.sleep(WATCH_PERIOD_SECONDS)


def _counters(client: Client, _: argparse.Namespace) -> int:
    print(format_table(("EVENT", "COUNT"), client.get_counters().items()))
    return 0


def print_status(status: dict[str, Any], output: str) -> None:
    """Print a status as a table or as JSON.

    Parameters
    ----------
    status : dict
        Status of a revision. Balancers of older versions list no evacuations.
    output : str
        ``table`` or ``json``.
    """
    if output == "json":
        print(json.dumps(status, indent=2))
        return
    rows = [
        *((name, "in force") for name in status["have"]),
        *((name, "older revision") for name in status["lack"]),
        *((name, "unreachable") for name in status["unreachable"]),
    ]
    state = "in force" if status["in_force"] else "not in force"
    print(f"revision {status['revision']}: {state}")
    print(format_table(("BALANCER", "STATE"), rows))
    evacuations = status.get("evacuations", [])
    if evacuations:
        print()
        rows = [
            (item["data_centre"], item["revision"], item["n_servers"])
            for item in evacuations
        ]
        print(format_table(EVACUATION_HEADER, rows))
