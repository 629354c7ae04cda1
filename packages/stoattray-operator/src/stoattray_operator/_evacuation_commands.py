"""Command that begins and ends evacuations of data centres."""

import argparse
import sys
from typing import Any

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator.client import Client


def add_evacuation_commands(commands: Any) -> None:
    """Add the command to a command line's parser."""
    evacuate = commands.add_parser(
        "evacuate",
        help="stop assigning new flows to the backend servers of a data centre",
    )
    evacuate.add_argument("data_centre", help="data_centre of the backend servers")
    evacuate.add_argument("--end", action="store_true", help="end the evacuation")
    evacuate.add_argument(
        "--revision",
        type=int,
        help="revision that the change is based on, 0 for none; default: current",
    )
    evacuate.set_defaults(run=_evacuate)


def _evacuate(client: Client, arguments: argparse.Namespace) -> int:
    if arguments.end:
        return _end(client, arguments.data_centre, arguments.revision)
    return _begin(client, arguments.data_centre, arguments.revision)


def _begin(client: Client, data_centre: str, revision: int | None) -> int:
    if revision is None:
        revision = _current_revision(client, data_centre)
        if revision:
            print(f"{data_centre} unchanged, evacuated since revision {revision}")
            return 0
    response = client.put_evacuation(data_centre, revision)
    for warning in response["warnings"]:
        print(f"stoattrayctl: warning: {warning}", file=sys.stderr)
    print(
        f"{data_centre} evacuated at revision {response['revision']}, "
        f"{response['n_servers']} backend servers"
    )
    return 0


def _end(client: Client, data_centre: str, revision: int | None) -> int:
    if revision is None:
        revision = int(client.get_evacuation(data_centre)["revision"])
    response = client.delete_evacuation(data_centre, revision)
    print(f"evacuation of {data_centre} ended at revision {response['revision']}")
    return 0


def _current_revision(client: Client, data_centre: str) -> int:
    try:
        return int(client.get_evacuation(data_centre)["revision"])
    except StoattrayError as error:
        if error.kind is ErrorKind.NOT_FOUND:
            return 0
        raise
