"""Check of a declaration without a balancer's API."""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from stoattray_core.resources import MAX_SERVICE_BYTES, ServiceModel
from stoattray_operator._check_rules import RULES
from stoattray_operator._documents import load_json
from stoattray_operator._findings import (
    DeclaredService,
    Fault,
    Finding,
    Severity,
    place_fault,
)
from stoattray_operator._json_lines import JsonLines, PathParts, format_path, scan_json

MAX_SHOWN_VALUE = 60
INVALID_VALUE = "invalid_value"
TOO_LARGE = "service_too_large"
NOT_JSON = "not_json"
REPEATED_KEY = "repeated_key"

_EXPECTATION = re.compile(r"^\w+ should (be )?")


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Findings, and the services that are valid by themselves.

    Parameters
    ----------
    findings : list of Finding
        By line; those of one line in the order of the rules.
    services : list of DeclaredService
        Valid services in the order of the file.
    lines : JsonLines
        Lines of the file's values.
    """

    findings: list[Finding]
    services: list[DeclaredService]
    lines: JsonLines


def check_text(text: str) -> CheckResult:
    """Return the findings on a text in the format of ``stoattrayctl apply``."""
    value = load_json(text)
    if isinstance(value, ValueError):
        line = value.lineno if isinstance(value, json.JSONDecodeError) else 1
        lines = JsonLines({(): line})
        fault = Fault((), f"not JSON: {value}", "a JSON document")
        finding = place_fault(fault, Severity.ERROR, NOT_JSON, lines)
        return CheckResult([finding], [], lines)
    lines = scan_json(text)
    findings = list(_find_repeated_keys(lines))
    services: list[DeclaredService] = []
    for path, document in _documents(value):
        faults = list(_find_size(path, document))
        findings += [
            place_fault(fault, Severity.ERROR, TOO_LARGE, lines) for fault in faults
        ]
        result = _validate(path, document)
        if isinstance(result, DeclaredService):
            services.append(result)
            continue
        findings += [
            place_fault(fault, Severity.ERROR, INVALID_VALUE, lines) for fault in result
        ]
    for rule in RULES:
        findings += [
            place_fault(fault, rule.severity, rule.name, lines)
            for fault in rule.find(services)
        ]
    findings.sort(key=lambda finding: finding.line)
    return CheckResult(findings, services, lines)


def _documents(value: Any) -> Iterator[tuple[PathParts, Any]]:
    if isinstance(value, list):
        for number, document in enumerate(value):
            yield (number,), document
    else:
        yield (), value


def _find_repeated_keys(lines: JsonLines) -> Iterator[Finding]:
    for path, line in lines.repeated_keys:
        yield Finding(
            Severity.WARNING,
            REPEATED_KEY,
            format_path(path),
            line,
            "the key is given twice; the last one counts",
            "one value",
        )


def _find_size(path: PathParts, document: Any) -> Iterator[Fault]:
    size = len(json.dumps(document))
    if size > MAX_SERVICE_BYTES:
        yield Fault(path, f"service of {size} bytes", f"{MAX_SERVICE_BYTES} at most")


def _validate(path: PathParts, document: Any) -> DeclaredService | list[Fault]:
    """Return the service, or a fault for each error of the API's validation."""
    try:
        service = ServiceModel.model_validate_json(json.dumps(document))
    except ValidationError as error:
        return [
            _validation_fault(path, item) for item in error.errors(include_url=False)
        ]
    return DeclaredService(path, service)


def _validation_fault(path: PathParts, item: Any) -> Fault:
    place = (*path, *item["loc"])
    message = item["msg"].removeprefix("Value error, ")
    match item["type"]:
        case "missing":
            return Fault(place, "the key is missing", "a value for it")
        case "extra_forbidden":
            return Fault(place, "the key is unknown", "only keys of a declaration")
        case "json_invalid":
            problem = f"the API can't read this document ({message})"
            return Fault(place, problem, "Unicode text and values that nest less")
        case "value_error" if isinstance(item["input"], dict):
            return Fault(place, message, "different values")
    value = repr(item["input"])
    shown = value if len(value) <= MAX_SHOWN_VALUE else value[:57] + "..."
    expected = _EXPECTATION.sub("", message).removeprefix("expected ")
    return Fault(place, f"value {shown}", expected)
