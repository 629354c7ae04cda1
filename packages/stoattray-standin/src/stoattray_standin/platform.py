"""Stand-in for the platform's key-value service, with seeded faults.

It implements the part of the etcd version 3 JSON API that balancers use:
``/v3/kv/range``, ``/v3/kv/txn`` and ``/v3/watch``. Tests set its faults with
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

WATCH_IDLE_TIMEOUT_SECONDS = 30.0
MAX_VALUE_BYTES = 1_048_576


class Faults(BaseModel):
    """Faults of the platform, as probabilities and delays."""

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_seconds: float = Field(default=0.0, ge=0.0, le=60.0)
    lost_answer: float = Field(default=0.0, ge=0.0, le=1.0)
    refused: float = Field(default=0.0, ge=0.0, le=1.0)


@dataclass(slots=True)
class StoredValue:
    """Value of one key, with the key's revisions."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int


@dataclass(slots=True)
class KeyValueStore:
    """Keys and values with one revision counter, as in etcd."""

    revision: int = 1
    values: dict[bytes, StoredValue] = field(default_factory=dict)
    changed: Event = field(default_factory=Event)

    def range(self, key: bytes, end: bytes, min_mod_revision: int) -> list[bytes]:
        """Return the keys in ``[key, end)`` changed at or after a revision."""
        if not end:
            return [key] if key in self.values else []
        return [
            name
            for name in sorted(self.values)
            if key <= name < end and self.values[name].mod_revision >= min_mod_revision
        ]

    def put_all(self, puts: list[tuple[bytes, bytes]]) -> None:
        """Write several keys at one revision."""
        self.revision += 1
        for key, value in puts:
            stored = self.values.get(key)
            if stored is None:
                self.values[key] = StoredValue(value, self.revision, self.revision, 1)
            else:
                stored.value = value
                stored.mod_revision = self.revision
                stored.version += 1
        self.changed.set()
        self.changed = Event()


class PlatformStandin:
    """HTTP API of the platform stand-in.

    Parameters
    ----------
    seed : int
        Seed of the random faults.
    """

    def __init__(self, seed: int = 1) -> None:
        self.store = KeyValueStore()
        self.faults = Faults()
        self.n_calls = 0
        self._random = Random(seed)
        self._app = falcon.App()
        self._app.add_route("/v3/kv/{operation}", self, suffix="kv")
        self._app.add_route("/v3/watch", self, suffix="watch")
        self._app.add_route("/standin/faults", self, suffix="faults")

    def serve(self, host: str, port: int) -> WSGIServer:
        """Start and return an HTTP server."""
        server = WSGIServer((host, port), self._app, log=None, error_log=None)
        server.start()
        return server

    def on_get_faults(self, _: falcon.Request, response: falcon.Response) -> None:
        """Answer with the faults and the number of calls."""
        response.media = {**self.faults.model_dump(), "n_calls": self.n_calls}

    def on_put_faults(self, request: falcon.Request, response: falcon.Response) -> None:
        """Replace the faults."""
        try:
            self.faults = Faults.model_validate(request.media)
        except ValidationError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from None
        response.media = self.faults.model_dump()

    def on_post_kv(
        self, request: falcon.Request, response: falcon.Response, operation: str
    ) -> None:
        """Answer a range or a transaction."""
        self._inject_faults()
        body = request.media
        if operation == "range":
            response.media = self._range(body)
        elif operation == "txn":
            response.media = self._txn(body)
        else:
            raise falcon.HTTPNotFound
        if self._random.random() < self.faults.lost_answer:
            gevent.sleep(WATCH_IDLE_TIMEOUT_SECONDS)
            raise falcon.HTTPServiceUnavailable

    def on_post_watch(self, request: falcon.Request, response: falcon.Response) -> None:
        """Stream a line for each change; end the stream after an idle timeout."""
        self._inject_faults()
        start = int(request.media["create_request"].get("start_revision", "0"))
        response.content_type = "application/json"
        response.stream = self._watch(start)

    def _inject_faults(self) -> None:
        self.n_calls += 1
        if self.faults.delay_seconds:
            gevent.sleep(self.faults.delay_seconds)
        if self.faults.down:
            raise falcon.HTTPServiceUnavailable
        if self._random.random() < self.faults.refused:
            raise falcon.HTTPTooManyRequests

    def _watch(self, start_revision: int) -> Iterator[bytes]:
        sent_revision = start_revision - 1
        while not self.faults.down:
            change = self.store.changed
            if self.store.revision > sent_revision:
                sent_revision = self.store.revision
                line = {"result": {"header": {"revision": str(sent_revision)}}}
                yield json.dumps(line).encode() + b"\n"
                continue
            if not change.wait(WATCH_IDLE_TIMEOUT_SECONDS):
                return

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        keys = self.store.range(
            _decode(body["key"]),
            _decode(body.get("range_end", "")),
            int(body.get("min_mod_revision", "0")),
        )
        return {
            "header": {"revision": str(self.store.revision)},
            "kvs": [self._encode_value(key) for key in keys],
            "count": str(len(keys)),
        }

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._is_satisfied(item) for item in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        puts = [
            (_decode(item["request_put"]["key"]), _decode(item["request_put"]["value"]))
            for item in branch
        ]
        if any(len(value) > MAX_VALUE_BYTES for _, value in puts):
            raise falcon.HTTPContentTooLarge
        if puts:
            self.store.put_all(puts)
        header = {"revision": str(self.store.revision)}
        return {"header": header, "succeeded": succeeded}

    def _is_satisfied(self, comparison: dict[str, str]) -> bool:
        stored = self.store.values.get(_decode(comparison["key"]))
        mod_revision = stored.mod_revision if stored is not None else 0
        return mod_revision == int(comparison["mod_revision"])

    def _encode_value(self, key: bytes) -> dict[str, str]:
        stored = self.store.values[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(stored.value).decode(),
            "create_revision": str(stored.create_revision),
            "mod_revision": str(stored.mod_revision),
            "version": str(stored.version),
        }


def _decode(text: str) -> bytes:
    return base64.b64decode(text)
