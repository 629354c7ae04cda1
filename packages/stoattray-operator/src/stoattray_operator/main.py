"""Operators' command line ``stoattrayctl``."""

import argparse
import os
import sys
from collections.abc import Sequence

from stoattray_core import StoattrayError
from stoattray_operator._check_command import add_check_command
from stoattray_operator._evacuation_commands import add_evacuation_commands
from stoattray_operator._log_commands import add_log_commands
from stoattray_operator._service_commands import add_service_commands
from stoattray_operator._status_commands import add_status_commands
from stoattray_operator.client import Client, ConnectionSettings

DEFAULT_SERVER = "https://127.0.0.1:7443"


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    arguments = _parser().parse_args(argv)
    servers = arguments.server or [os.environ.get("STOATTRAY_SERVER", DEFAULT_SERVER)]
    arguments.clients = [_client(server, arguments) for server in servers]
    try:
        return arguments.run(arguments.clients[0], arguments)
    except StoattrayError as error:
        print(f"stoattrayctl: {error.kind}: {error.reason}", file=sys.stderr)
        return error.response.exit_status
    except KeyboardInterrupt:
        return 130


def _client(server: str, arguments: argparse.Namespace) -> Client:
    files = (arguments.certificate, arguments.key) if arguments.certificate else None
    connection = ConnectionSettings(
        server=server.rstrip("/"),
        token=os.environ.get("STOATTRAY_TOKEN"),
        ca_file=arguments.ca_file,
        client_certificate_files=files,
    )
    return Client(connection)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="stoattrayctl",
        description="Declares services and shows which balancers have them in force. "
        "The bearer token is read from STOATTRAY_TOKEN.",
    )
    parser.add_argument(
        "--server",
        action="append",
        help="URL of any balancer's API; repeat it once per group of balancers: wait "
        "checks all groups, other commands use the first",
    )
    parser.add_argument("--ca-file", help="PEM file of the API's certificate authority")
    parser.add_argument("--certificate", help="PEM file of the client's certificate")
    parser.add_argument("--key", help="PEM file of the client's key")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    add_check_command(commands)
    add_service_commands(commands)
    add_evacuation_commands(commands)
    add_status_commands(commands)
    add_log_commands(commands)
    return parser


if __name__ == "__main__":
    sys.exit(main())
