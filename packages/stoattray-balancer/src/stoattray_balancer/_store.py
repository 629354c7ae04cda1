"""Client of the platform's key-value service.

The protocol is the JSON form of the etcd version 3 API: ``/v3/kv/range``,
``/v3/kv/txn`` and ``/v3/watch``. A deleted key is stored as a tombstone, so that
reads by revision also return deletions.
"""

import base64
import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import requests
from pydantic import BaseModel, ConfigDict, ValidationError

from stoattray_balancer._throttling import RateLimiter
from stoattray_balancer.settings import PlatformSettings
from stoattray_core import ErrorKind, Refused
from stoattray_core.configuration import ConfigEntry

N_READ_BACK_ATTEMPTS = 3
READ_BACK_DELAY_SECONDS = 0.2
HTTP_TOO_MANY_REQUESTS = 429


class StoredValue(BaseModel):
    """JSON value stored under one key; `deleted` marks a tombstone."""

    model_config = ConfigDict(extra="forbid")

    change_id: str
    deleted: bool = False
    value: str = ""


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """All entries that changed up to `revision`."""

    revision: int
    entries: list[ConfigEntry]


@dataclass(frozen=True, slots=True)
class Precondition:
    """A key and its required revision; 0 requires that it never existed."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A key and its new value; None writes a tombstone."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """State of one key in the store; `value` is None for a tombstone."""

    revision: int
    change_id: str
    value: str | None


class Store:
    """Key-value client with timeouts, a rate limit and compare-and-swap writes.

    Parameters
    ----------
    settings : PlatformSettings
        URL, key prefix, timeout and rate limit.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._session = requests.Session()
        self._rate_limit = RateLimiter(settings.max_calls_per_second)

    @property
    def n_calls(self) -> int:
        """Return the number of calls made so far."""
        return self._rate_limit.n_calls

    def read(self, after: int) -> StoreChanges | Refused:
        """Return every entry that changed after the revision `after`."""
        prefix = self._settings.prefix
        body = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(prefix[:-1] + chr(ord(prefix[-1]) + 1)),
            "min_mod_revision": str(after + 1),
        }
        document = self._call("/v3/kv/range", body)
        if isinstance(document, Refused):
            return document
        entries: list[ConfigEntry] = []
        for item in document.get("kvs", []):
            stored_entry = _parse_entry(item)
            if stored_entry is not None:
                key = _from_base64(item["key"]).removeprefix(prefix)
                entries.append(
                    ConfigEntry(key, stored_entry.revision, stored_entry.value)
                )
        revision = max((entry.revision for entry in entries), default=after)
        return StoreChanges(revision, entries)

    def get(self, key: str) -> StoredEntry | None | Refused:
        """Return the entry of one key, or None if the key never existed."""
        document = self._call(
            "/v3/kv/range", {"key": _to_base64(self._prefixed_key(key))}
        )
        if isinstance(document, Refused):
            return document
        items = document.get("kvs", [])
        return _parse_entry(items[0]) if items else None

    def write(
        self, preconditions: list[Precondition], puts: list[Put], change_id: str
    ) -> int | Refused:
        """Write several keys in one transaction if all preconditions hold.

        Parameters
        ----------
        preconditions : list of Precondition
            Required revisions; the first one is that of the first put's key.
        puts : list of Put
            New values.
        change_id : str
            Unique id of this change, stored with each value.

        Returns
        -------
        int or Refused
            The new revision. CONFLICT and PLATFORM_UNAVAILABLE mean that the
            write was not applied; OUTCOME_UNKNOWN that it may have been.
        """
        body = {
            "compare": [self._comparison(item) for item in preconditions],
            "success": [self._put_request(put, change_id) for put in puts],
            "failure": [],
        }
        document = self._call("/v3/kv/txn", body)
        if isinstance(document, Refused):
            if document.kind is ErrorKind.OUTCOME_UNKNOWN:
                return self._read_back(puts[0].key, preconditions[0], change_id)
            return document
        if not document.get("succeeded"):
            return Refused(ErrorKind.CONFLICT, "the revision has changed")
        return int(document["header"]["revision"])

    def watch(self, after: int) -> Iterator[None]:
        """Yield for each change after a revision; end when the connection closes."""
        prefix = self._settings.prefix
        create = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(prefix[:-1] + chr(ord(prefix[-1]) + 1)),
            "start_revision": str(after + 1),
        }
        if not self._rate_limit.try_acquire():
            return
        timeout = (self._settings.timeout_seconds, None)
        try:
            with self._session.post(
                self._settings.url + "/v3/watch",
                json={"create_request": create},
                stream=True,
                timeout=timeout,
            ) as response:
                for line in response.iter_lines():
                    if line:
                        yield
        except requests.RequestException:
            return

    def _read_back(
        self, key: str, precondition: Precondition, change_id: str
    ) -> int | Refused:
        """Read back whether a write whose response was lost was applied.

        An unchanged key is inconclusive, as the write may still be in flight;
        only a changed key decides.
        """
        for _ in range(N_READ_BACK_ATTEMPTS):
            stored_entry = self.get(key)
            if isinstance(stored_entry, StoredEntry):
                if stored_entry.change_id == change_id:
                    return stored_entry.revision
                if stored_entry.revision != precondition.revision:
                    return Refused(ErrorKind.CONFLICT, "another change came first")
            time.sleep(READ_BACK_DELAY_SECONDS)
        return Refused(ErrorKind.OUTCOME_UNKNOWN, f"change {change_id}")

    def _comparison(self, precondition: Precondition) -> dict[str, str]:
        return {
            "key": _to_base64(self._prefixed_key(precondition.key)),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(precondition.revision),
        }

    def _put_request(self, put: Put, change_id: str) -> dict[str, Any]:
        stored = StoredValue(
            change_id=change_id, deleted=put.value is None, value=put.value or ""
        )
        return {
            "request_put": {
                "key": _to_base64(self._prefixed_key(put.key)),
                "value": _to_base64(stored.model_dump_json()),
            }
        }

    def _prefixed_key(self, key: str) -> str:
        return self._settings.prefix + key

    def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any] | Refused:
        if not self._rate_limit.try_acquire():
            return Refused(ErrorKind.PLATFORM_UNAVAILABLE, "this node's call limit")
        try:
            response = self._session.post(
                self._settings.url + path,
                json=body,
                timeout=self._settings.timeout_seconds,
            )
        except requests.exceptions.ConnectTimeout:
            return Refused(ErrorKind.PLATFORM_UNAVAILABLE, "connect timeout")
        except requests.exceptions.ConnectionError as error:
            return _classify_connection_error(error)
        except requests.RequestException as error:
            return Refused(ErrorKind.OUTCOME_UNKNOWN, type(error).__name__)
        return _parse_response(response)


def _classify_connection_error(error: requests.exceptions.ConnectionError) -> Refused:
    """Distinguish a refused connection from one that broke after it was made."""
    is_refused = "NewConnectionError" in repr(error)
    if is_refused:
        return Refused(ErrorKind.PLATFORM_UNAVAILABLE, "connection refused")
    return Refused(ErrorKind.OUTCOME_UNKNOWN, "connection broken")


def _parse_response(response: requests.Response) -> dict[str, Any] | Refused:
    if response.status_code == HTTP_TOO_MANY_REQUESTS:
        return Refused(ErrorKind.PLATFORM_UNAVAILABLE, "the platform's call limit")
    if response.status_code != 200:
        return Refused(ErrorKind.OUTCOME_UNKNOWN, f"HTTP status {response.status_code}")
    try:
        document = response.json()
    except json.JSONDecodeError:
        return Refused(ErrorKind.OUTCOME_UNKNOWN, "response is not JSON")
    if not isinstance(document, dict):
        return Refused(ErrorKind.OUTCOME_UNKNOWN, "response is not a JSON object")
    return document


def _parse_entry(item: dict[str, str]) -> StoredEntry | None:
    try:
        stored = StoredValue.model_validate_json(_from_base64(item["value"]))
    except (ValidationError, ValueError):
        return None
    value = None if stored.deleted else stored.value
    return StoredEntry(int(item["mod_revision"]), stored.change_id, value)


def _to_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _from_base64(text: str) -> str:
    return base64.b64decode(text).decode()
