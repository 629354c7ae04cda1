"""Reads service declarations: a JSON document or a list of documents."""

import json
import sys
from pathlib import Path
from typing import Any

from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import ServiceModel, parse_service

MAX_FILE_BYTES = 2_000_000


def read_services(source: str) -> list[ServiceModel]:
    """Return the services declared in a file, or in standard input for ``-``.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT or TOO_LARGE; the reason names the key, its value and what
        was expected.
    """
    value = load_json(read_text(source))
    if isinstance(value, ValueError):
        reason = f"{source}: {value}; expected JSON"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
    documents = value if isinstance(value, list) else [value]
    services = [_parse_document(source, document) for document in documents]
    _reject_duplicates(source, services)
    return services


def load_json(text: str) -> Any:
    """Return the value of a JSON text, or a ValueError that tells why it has none.

    Besides syntax errors, these are integers and nestings beyond Python's limits.
    """
    try:
        return json.loads(text)
    except ValueError as error:
        return error
    except RecursionError:
        return ValueError("too deeply nested")


def read_text(source: str) -> str:
    """Return the text of a file, or that of standard input for ``-``.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT if it can't be read, or TOO_LARGE.
    """
    try:
        if source == "-":
            text = sys.stdin.read(MAX_FILE_BYTES + 1)
        else:
            with Path(source).open(encoding="utf-8") as file:
                text = file.read(MAX_FILE_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        reason = f"{source}: {error}; expected a readable JSON file"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None
    if len(text) > MAX_FILE_BYTES:
        reason = f"{source}: over {MAX_FILE_BYTES} bytes; expected a smaller file"
        raise StoattrayError(ErrorKind.TOO_LARGE, reason)
    return text


def _parse_document(source: str, document: Any) -> ServiceModel:
    try:
        return parse_service(json.dumps(document))
    except StoattrayError as error:
        raise StoattrayError(error.kind, f"{source}: {error.reason}") from None


def _reject_duplicates(source: str, services: list[ServiceModel]) -> None:
    names: set[str] = set()
    names_by_address: dict[int, str] = {}
    for service in services:
        if service.service in names:
            reason = f"{source}: service {service.service!r} is declared twice"
            raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
        names.add(service.service)
        first_name = names_by_address.setdefault(service.spec.key, service.service)
        if first_name != service.service:
            reason = (
                f"{source}: spec.address={service.spec.address!r} of "
                f"{service.service!r} is also used by {first_name!r}; "
                "expected an unused address"
            )
            raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
