"""Command that checks a declaration before it is sent."""

import argparse
import json
import sys
from typing import Any

from stoattray_core import StoattrayError
from stoattray_operator._arguments import add_output
from stoattray_operator._check import CheckResult, check_text
from stoattray_operator._check_in_force import (
    IN_FORCE_RULES,
    UNCHANGED,
    Difference,
    InForce,
    find_differences,
    read_in_force,
)
from stoattray_operator._documents import read_text
from stoattray_operator._findings import Finding, Severity, place_fault
from stoattray_operator.client import Client

STATUS_NOTHING_FOUND = 0
STATUS_WARNINGS = 1
STATUS_ERRORS = 2
MAX_SHOWN_VALUE = 60


def add_check_command(commands: Any) -> None:
    """Add the command to a command line's parser."""
    check = commands.add_parser(
        "check",
        help="check a declaration, and show its differences from the version in force",
    )
    check.add_argument("file", help="JSON file as for apply, - for stdin")
    check.add_argument(
        "--offline",
        action="store_true",
        help="do not compare with the version in force, which needs a balancer's API",
    )
    add_output(check)
    check.set_defaults(run=_check)


def _check(client: Client, arguments: argparse.Namespace) -> int:
    """Print what is found, also if the API can't be reached.

    Errors in the file take precedence over an error of the API.
    """
    result = check_text(read_text(arguments.file))
    findings = list(result.findings)
    in_force: InForce | None = None
    api_error: StoattrayError | None = None
    if not arguments.offline:
        try:
            in_force = read_in_force(client, result.services)
        except StoattrayError as error:
            api_error = error
    differences: list[Difference] = []
    if in_force is not None:
        findings += _check_in_force(result, in_force)
        findings.sort(key=lambda finding: finding.line)
        differences = find_differences(result.services, in_force)
    if arguments.output == "json":
        _print_json(findings, in_force, differences)
    else:
        _print_text(arguments.file, findings, in_force, differences)
    status = exit_status(findings)
    if api_error is not None and status != STATUS_ERRORS:
        raise api_error
    if api_error is not None:
        print(f"stoattrayctl: not compared: {api_error.reason}", file=sys.stderr)
    return status


def exit_status(findings: list[Finding]) -> int:
    """Return the exit status for findings."""
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        return STATUS_ERRORS
    return STATUS_WARNINGS if severities else STATUS_NOTHING_FOUND


def _check_in_force(result: CheckResult, in_force: InForce) -> list[Finding]:
    return [
        place_fault(fault, severity, name, result.lines)
        for name, severity, find in IN_FORCE_RULES
        for fault in find(result.services, in_force)
    ]


def _print_json(
    findings: list[Finding], in_force: InForce | None, differences: list[Difference]
) -> None:
    compared = None
    if in_force is not None:
        compared = {
            "revision": in_force.revision,
            "differences": [item.to_json() for item in differences],
        }
    document = {
        "findings": [finding.to_json() for finding in findings],
        "in_force": compared,
    }
    print(json.dumps(document, indent=2))


def _print_text(
    source: str,
    findings: list[Finding],
    in_force: InForce | None,
    differences: list[Difference],
) -> None:
    for finding in findings:
        print(finding.to_text(source))
    n_errors = sum(finding.severity is Severity.ERROR for finding in findings)
    print(f"errors: {n_errors}, warnings: {len(findings) - n_errors}")
    if in_force is None:
        print("not compared with the version in force")
        return
    print(f"differences from revision {in_force.revision} in force:")
    for item in differences:
        if item.result != UNCHANGED:
            print(f"  {item.service}: {item.result}")
        for change in item.changes:
            before, after = _shorten(change.before), _shorten(change.after)
            print(f"    {change.path}: {before} -> {after}")
    if all(item.result == UNCHANGED for item in differences):
        print("  none")


def _shorten(value: Any) -> str:
    """Return a value as JSON, or the name of a whole backend server."""
    if value is None:
        return "-"
    if isinstance(value, dict) and "name" in value:
        return f"{value['name']} at {value.get('address')}:{value.get('port')}"
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN_VALUE else text[: MAX_SHOWN_VALUE - 3] + "..."
