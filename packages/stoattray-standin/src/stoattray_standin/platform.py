"""Stand-in of the platform's key-value service, with seeded faults.

It speaks the JSON form of the etcd version 3 API as far as balancers use it:
``/v3/kv/range``, ``/v3/kv/txn`` and ``/v3/watch``. Tests change its faults by
``PUT /standin/faults``.
"""

import base64
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from pydantic import BaseModel, ConfigDict, Field, ValidationError

WATCH_IDLE_SECONDS = 30.0
MAX_VALUE_BYTES = 1_048_576


class Faults(BaseModel):
    """What goes wrong, as probabilities and delays."""

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_seconds: float = Field(default=0.0, ge=0.0, le=60.0)
    lost_answer: float = Field(default=0.0, ge=0.0, le=1.0)
    refused: float = Field(default=0.0, ge=0.0, le=1.0)


@dataclass(slots=True)
class StoredKey:
    """One key with its revisions."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int


@dataclass(slots=True)
class KeyValues:
    """Keys and values with one revision counter, as etcd has them."""

    revision: int = 1
    rows: dict[bytes, StoredKey] = field(default_factory=dict)
    changed: Event = field(default_factory=Event)

    def range(self, key: bytes, end: bytes, min_mod_revision: int) -> list[bytes]:
        """Return the keys in ``[key, end)`` changed at or after a revision."""
        if not end:
            return [key] if key in self.rows else []
        return [
            name
            for name in sorted(self.rows)
            if key <= name < end and self.rows[name].mod_revision >= min_mod_revision
        ]

    def put_all(self, puts: list[tuple[bytes, bytes]]) -> None:
        """Write several keys at one revision."""
        self.revision += 1
        for key, value in puts:
            row = self.rows.get(key)
            if row is None:
                self.rows[key] = StoredKey(value, self.revision, self.revision, 1)
            else:
                row.value = value
                row.mod_revision = self.revision
                row.version += 1
        self.changed.set()
        self.changed = Event()


class PlatformStandin:
    """The HTTP side of the stand-in.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    """

    def __init__(self, seed: int = 1) -> None:
        self.keys = KeyValues()
        self.faults = Faults()
        self.n_calls = 0
        self._random = Random(seed)
        self._app = falcon.App()
        self._app.add_route("/v3/kv/{operation}", self, suffix="kv")
        self._app.add_route("/v3/watch", self, suffix="watch")
        self._app.add_route("/standin/faults", self, suffix="faults")

    def serve(self, host: str, port: int) -> WSGIServer:
        """Return a server that is started."""
        server = WSGIServer((host, port), self._app, log=None, error_log=None)
        server.start()
        return server

    def on_get_faults(self, _: falcon.Request, response: falcon.Response) -> None:
        """Answer with the faults and the number of calls."""
        response.media = {**self.faults.model_dump(), "n_calls": self.n_calls}

    def on_put_faults(self, request: falcon.Request, response: falcon.Response) -> None:
        """Change the faults."""
        try:
            self.faults = Faults.model_validate(request.media)
        except ValidationError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from None
        response.media = self.faults.model_dump()

    def on_post_kv(
        self, request: falcon.Request, response: falcon.Response, operation: str
    ) -> None:
        """Answer a range or a transaction."""
        self._fail_before()
        body = request.media
        if operation == "range":
            response.media = self._range(body)
        elif operation == "txn":
            response.media = self._txn(body)
        else:
            raise falcon.HTTPNotFound
        if self._random.random() < self.faults.lost_answer:
            gevent.sleep(WATCH_IDLE_SECONDS)
            raise falcon.HTTPServiceUnavailable

    def on_post_watch(self, request: falcon.Request, response: falcon.Response) -> None:
        """Stream a line for each change until the watch has been idle too long."""
        self._fail_before()
        start = int(request.media["create_request"].get("start_revision", "0"))
        response.content_type = "application/json"
        response.stream = self._watch(start)

    def _fail_before(self) -> None:
        self.n_calls += 1
        if self.faults.delay_seconds:
            gevent.sleep(self.faults.delay_seconds)
        if self.faults.down:
            raise falcon.HTTPServiceUnavailable
        if self._random.random() < self.faults.refused:
            raise falcon.HTTPTooManyRequests

    def _watch(self, start: int) -> Iterator[bytes]:
        seen = start - 1
        while not self.faults.down:
            changed = self.keys.changed
            if self.keys.revision > seen:
                seen = self.keys.revision
                line = {"result": {"header": {"revision": str(seen)}}}
                yield json.dumps(line).encode() + b"\n"
                continue
            if not changed.wait(WATCH_IDLE_SECONDS):
                return

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        names = self.keys.range(
            _decode(body["key"]),
            _decode(body.get("range_end", "")),
            int(body.get("min_mod_revision", "0")),
        )
        return {
            "header": {"revision": str(self.keys.revision)},
            "kvs": [self._describe(name) for name in names],
            "count": str(len(names)),
        }

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._holds(item) for item in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        puts = [
            (_decode(item["request_put"]["key"]), _decode(item["request_put"]["value"]))
            for item in branch
        ]
        if any(len(value) > MAX_VALUE_BYTES for _, value in puts):
            raise falcon.HTTPContentTooLarge
        if puts:
            self.keys.put_all(puts)
        header = {"revision": str(self.keys.revision)}
        return {"header": header, "succeeded": succeeded}

    def _holds(self, comparison: dict[str, str]) -> bool:
        row = self.keys.rows.get(_decode(comparison["key"]))
        mod_revision = row.mod_revision if row is not None else 0
        return mod_revision == int(comparison["mod_revision"])

    def _describe(self, name: bytes) -> dict[str, str]:
        row = self.keys.rows[name]
        return {
            "key": base64.b64encode(name).decode(),
            "value": base64.b64encode(row.value).decode(),
            "create_revision": str(row.create_revision),
            "mod_revision": str(row.mod_revision),
            "version": str(row.version),
        }


def _decode(text: str) -> bytes:
    return base64.b64decode(text)
