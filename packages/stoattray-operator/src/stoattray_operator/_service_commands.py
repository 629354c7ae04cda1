"""Commands that declare, show and delete services."""

import argparse
import difflib
import json
from typing import Any

from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import ServiceModel
from stoattray_operator._arguments import add_output
from stoattray_operator._documents import read_services
from stoattray_operator._status_commands import print_status
from stoattray_operator._tables import format_table
from stoattray_operator.client import Client

SERVICE_HEADER = ("SERVICE", "REVISION", "ADDRESS", "POLICY", "BACKEND SERVERS")


def add_service_commands(commands: Any) -> None:
    """Add the commands to a command line's parser."""
    _add_apply(commands)
    _add_get(commands)
    _add_delete(commands)
    _add_drain(commands)


def _add_apply(commands: Any) -> None:
    apply = commands.add_parser("apply", help="declare services from a file")
    apply.add_argument("-f", "--file", required=True, help="JSON file, - for stdin")
    apply.add_argument("--dry-run", action="store_true", help="only show the changes")
    apply.add_argument(
        "--revision",
        type=int,
        help="revision that the change is based on; default: current",
    )
    add_output(apply)
    apply.set_defaults(run=_apply)


def _add_get(commands: Any) -> None:
    get = commands.add_parser("get", help="list organisations or services")
    get.add_argument(
        "name",
        nargs="?",
        help="ORGANISATION for its services, ORGANISATION/SERVICE for one; "
        "without it the organisations",
    )
    add_output(get)
    get.set_defaults(run=_get)
    describe = commands.add_parser(
        "describe", help="show a service with its backend servers"
    )
    describe.add_argument("name", help="ORGANISATION/SERVICE")
    describe.set_defaults(run=_describe)


def _add_delete(commands: Any) -> None:
    delete = commands.add_parser("delete", help="delete a service")
    delete.add_argument("name", help="ORGANISATION/SERVICE")
    delete.add_argument("--revision", type=int, help="delete only this revision")
    delete.set_defaults(run=_delete)


def _add_drain(commands: Any) -> None:
    for command, state, text in (
        ("drain", "draining", "stop assigning new flows to a backend server"),
        (
            "activate",
            "active",
            "resume assigning new flows to a drained backend server",
        ),
    ):
        drain = commands.add_parser(command, help=text)
        drain.add_argument("name", help="ORGANISATION/SERVICE")
        drain.add_argument("backend_server", help="name of the backend server")
        drain.set_defaults(run=_set_server_state, state=state)


def _apply(client: Client, arguments: argparse.Namespace) -> int:
    services = read_services(arguments.file)
    rows: list[tuple[str, int, str]] = []
    for service in services:
        rows.append(_apply_one(client, service, arguments))
    if arguments.output == "json":
        items = [
            {"service": name, "revision": revision, "result": result}
            for name, revision, result in rows
        ]
        print(json.dumps(items, indent=2))
    else:
        print(format_table(("SERVICE", "REVISION", "RESULT"), rows))
    return 0


def _apply_one(
    client: Client, service: ServiceModel, arguments: argparse.Namespace
) -> tuple[str, int, str]:
    document = service.model_dump(mode="json")
    revision = arguments.revision
    if revision is None:
        revision = client.get_revision(service.organisation, service.name)
    preview = client.put_service(document, revision, dry_run=True)
    if preview["before"] == preview["after"]:
        return service.service, revision, "unchanged"
    if arguments.dry_run:
        print_diff(service.service, preview)
        return service.service, revision, "would change"
    response = client.put_service(document, revision)
    result = "created" if preview["before"] is None else "changed"
    return service.service, int(response["revision"]), result


def print_diff(name: str, preview: dict[str, Any]) -> None:
    """Print the difference between a service in force and a declared one.

    Parameters
    ----------
    name : str
        Full name of the service.
    preview : dict
        Documents `before` and `after`; None for a service that does not exist.
    """
    before, after = (
        json.dumps(preview[side], indent=2).splitlines() if preview[side] else []
        for side in ("before", "after")
    )
    for line in difflib.unified_diff(
        before, after, f"{name} in force", f"{name} declared", lineterm=""
    ):
        print(line)


def _get(client: Client, arguments: argparse.Namespace) -> int:
    if arguments.name is None:
        return _get_organisations(client, arguments.output)
    organisation, _, name = arguments.name.partition("/")
    if name:
        items = [client.get_service(organisation, name)]
    else:
        items = client.list_services(organisation)["items"]
    if arguments.output == "json":
        print(json.dumps(items, indent=2))
        return 0
    print(format_table(SERVICE_HEADER, [_service_row(item) for item in items]))
    return 0


def _get_organisations(client: Client, output: str) -> int:
    items = client.list_organisations()["items"]
    if output == "json":
        print(json.dumps(items, indent=2))
    else:
        rows = [(item["name"], item["n_services"]) for item in items]
        print(format_table(("ORGANISATION", "SERVICES"), rows))
    return 0


def _service_row(item: dict[str, Any]) -> tuple[str, int, str, str, int]:
    service = item["service"]
    spec = service["spec"]
    return (
        f"{service['organisation']}/{service['name']}",
        item["revision"],
        f"{spec['address']}:{spec['port']}/{spec['protocol']}",
        spec["policy"],
        len(spec["backend_servers"]),
    )


def _describe(client: Client, arguments: argparse.Namespace) -> int:
    organisation, name = _split_name(arguments.name)
    item = client.get_service(organisation, name)
    print(format_table(SERVICE_HEADER, [_service_row(item)]))
    print()
    servers = item["service"]["spec"]["backend_servers"]
    rows = [
        (
            server["name"],
            f"{server['address']}:{server['port']}",
            server["state"],
            server["weight"],
            server.get("data_centre") or "-",
        )
        for server in servers
    ]
    header = ("BACKEND SERVER", "ADDRESS", "STATE", "WEIGHT", "DATA CENTRE")
    print(format_table(header, rows))
    print()
    print_status(item["status"], "table")
    return 0


def _delete(client: Client, arguments: argparse.Namespace) -> int:
    organisation, name = _split_name(arguments.name)
    revision = arguments.revision
    if revision is None:
        revision = int(client.get_service(organisation, name)["revision"])
    response = client.delete_service(organisation, name, revision)
    print(f"{arguments.name} deleted at revision {response['revision']}")
    return 0


def _set_server_state(client: Client, arguments: argparse.Namespace) -> int:
    organisation, name = _split_name(arguments.name)
    server = arguments.backend_server
    response = client.set_server_state(organisation, name, server, arguments.state)
    print(f"{server} {arguments.state} at revision {response['revision']}")
    return 0


def _split_name(name: str) -> tuple[str, str]:
    organisation, _, service = name.partition("/")
    if not service:
        reason = f"{name!r}: expected ORGANISATION/SERVICE"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
    return organisation, service
