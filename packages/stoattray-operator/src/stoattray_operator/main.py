"""Operators' command line ``stoattrayctl``."""

import argparse
import difflib
import json
import os
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import ServiceModel
from stoattray_operator._documents import read_services
from stoattray_operator._explain import explain
from stoattray_operator._log_lines import LogLine, read_log_lines
from stoattray_operator._report import build_report, format_report, plot_report
from stoattray_operator._tables import format_table
from stoattray_operator.client import Client, ConnectionSettings

DEFAULT_SERVER = "https://127.0.0.1:7443"
MAX_STATUS_WAIT_SECONDS = 30.0
WATCH_PERIOD_SECONDS = 1.0
SERVICE_HEADER = ("SERVICE", "REVISION", "ADDRESS", "POLICY", "BACKEND SERVERS")


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
    _add_apply(commands)
    _add_get(commands)
    _add_delete(commands)
    _add_drain(commands)
    _add_wait(commands)
    _add_status(commands)
    _add_explain(commands)
    _add_report(commands)
    return parser


def _add_apply(commands: Any) -> None:
    apply = commands.add_parser("apply", help="declare services from a file")
    apply.add_argument("-f", "--file", required=True, help="JSON file, - for stdin")
    apply.add_argument("--dry-run", action="store_true", help="only show the changes")
    apply.add_argument(
        "--revision",
        type=int,
        help="revision that the change is based on; default: current",
    )
    _add_output(apply)
    apply.set_defaults(run=_apply)


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


def _add_get(commands: Any) -> None:
    get = commands.add_parser("get", help="list organisations or services")
    get.add_argument(
        "name",
        nargs="?",
        help="ORGANISATION for its services, ORGANISATION/SERVICE for one; "
        "without it the organisations",
    )
    _add_output(get)
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


def _add_wait(commands: Any) -> None:
    wait = commands.add_parser("wait", help="wait until a revision is in force")
    wait.add_argument("--for", dest="condition", choices=["in-force"], required=True)
    wait.add_argument("--revision", type=int, required=True)
    wait.add_argument("--timeout", type=float, default=30.0, help="in seconds")
    _add_output(wait)
    wait.set_defaults(run=_wait)


def _add_status(commands: Any) -> None:
    status = commands.add_parser(
        "status", help="show which balancers have a revision in force"
    )
    status.add_argument("--revision", type=int)
    _add_output(status)
    status.set_defaults(run=_status)
    watch = commands.add_parser("watch", help="print the status whenever it changes")
    watch.add_argument("--revision", type=int)
    watch.set_defaults(run=_watch)
    counters = commands.add_parser("counters", help="show a balancer's event counts")
    counters.set_defaults(run=_counters)


def _add_output(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("-o", "--output", choices=["table", "json"], default="table")


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
        _print_diff(service.service, preview)
        return service.service, revision, "would change"
    response = client.put_service(document, revision)
    result = "created" if preview["before"] is None else "changed"
    return service.service, int(response["revision"]), result


def _print_diff(name: str, preview: dict[str, Any]) -> None:
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
        )
        for server in servers
    ]
    print(format_table(("BACKEND SERVER", "ADDRESS", "STATE", "WEIGHT"), rows))
    print()
    _print_status(item["status"], "table")
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


def _wait(_: Client, arguments: argparse.Namespace) -> int:
    """Wait until the revision is in force in each group of balancers."""
    deadline = time.monotonic() + arguments.timeout
    for client in arguments.clients:
        status = _wait_until_in_force(client, arguments.revision, deadline)
        _print_status(status, arguments.output)
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
    _print_status(client.get_status(arguments.revision), arguments.output)
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


def _print_status(status: dict[str, Any], output: str) -> None:
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


def _split_name(name: str) -> tuple[str, str]:
    organisation, _, service = name.partition("/")
    if not service:
        reason = f"{name!r}: expected ORGANISATION/SERVICE"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
    return organisation, service


if __name__ == "__main__":
    sys.exit(main())
