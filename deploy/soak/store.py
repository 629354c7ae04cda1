"""Stand-in of the platform's store, after its published protocol, with faults."""

import json
import time
from base64 import b64decode, b64encode
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

PAGE_ITEMS = 50
LATE_SECONDS = 1.0


@dataclass
class Faults:
    """What goes wrong at present."""

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers: float = 0.0
    stale_seconds: float = 0.0


@dataclass
class Item:
    """One key with its value."""

    value: bytes
    revision: int
    created_at: int
    lease: int


@dataclass
class Lease:
    """A lease and when it ends, in monotonic seconds."""

    ttl_ms: int
    ends_at: float


@dataclass
class StandinStore:
    """Keys, history, leases and the HTTP side."""

    random: Random
    faults: Faults = field(default_factory=Faults)
    items: dict[str, Item] = field(default_factory=dict)
    history: list[tuple[int, str, Item | None]] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 1
    floor: int = 0
    calls: Counter = field(default_factory=Counter)
    changed: Event = field(default_factory=Event)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key; return the revision."""
        self.revision += 1
        held = self.items.get(key)
        created_at = held.created_at if held else self.revision
        item = Item(value, self.revision, created_at, lease)
        self.items[key] = item
        self._remember(key, item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove one key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._remember(key, None)

    def compact(self) -> None:
        """Forget the history."""
        self.floor = self.revision
        self.history.clear()
        self._wake()

    def revoke(self, prefix: str) -> None:
        """End the leases of all keys below a prefix."""
        for key in [key for key in self.items if key.startswith(prefix)]:
            self.leases.pop(self.items[key].lease, None)
            self.delete(key)

    def run_leases(self) -> None:
        """End leases that ran out, for ever; they run on while the store is down."""
        while True:
            gevent.sleep(0.05)
            now = time.monotonic()
            for number, lease in list(self.leases.items()):
                if lease.ends_at <= now:
                    del self.leases[number]
                    for key in [k for k, i in self.items.items() if i.lease == number]:
                        self.delete(key)

    def server(self, address: tuple[str, int]) -> WSGIServer:
        """Return the HTTP server; not yet started."""
        app = falcon.App()
        for path in ("kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease"):
            app.add_route(f"/api/{path}", self, suffix=path.replace("-", "_"))
        app.add_route("/api/kv-keep/{number:int}", self, suffix="keep")
        app.add_route("/api/kv-lease-end/{number:int}", self, suffix="lease_end")
        return WSGIServer(address, app, log=None, error_log=None)

    def on_get_kv_key(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return one item."""
        self._begin("key")
        key = request.get_param("key", required=True)
        if key not in self.items:
            raise falcon.HTTPNotFound
        body = {**self._item(key), "store_revision": self.revision}
        response.media = body

    def on_get_kv_range(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return a page of items."""
        self._begin("range")
        prefix = request.get_param("prefix") or ""
        after = request.get_param("after") or ""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        response.media = {
            "items": [self._item(key) for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    def on_get_kv_watch(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return what has changed, waiting for the first change."""
        self._begin("watch")
        prefix = request.get_param("prefix") or ""
        after = request.get_param_as_int("after", required=True)
        ends_at = time.monotonic() + request.get_param_as_int("wait_ms") / 1_000
        while True:
            if after < self.floor:
                raise falcon.HTTPGone
            if self.faults.is_down:
                raise falcon.HTTPServiceUnavailable
            events = self._events(prefix, after)
            rest = ends_at - time.monotonic()
            if events or rest <= 0:
                break
            self.changed.wait(rest)
        response.media = {"events": events, "store_revision": self.revision}

    def on_post_kv_txn(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Change several keys, all or none."""
        self._begin("txn")
        body = request.media
        if self.random.random() < self.faults.lost_answers:
            if self.random.random() < 0.5:
                gevent.spawn_later(LATE_SECONDS, self._apply, body)
            else:
                self._apply(body)
            gevent.sleep(30)
            raise falcon.HTTPServiceUnavailable
        status, answer = self._apply(body)
        response.status, response.media = status, answer

    def on_post_kv_lease(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Start a lease."""
        self._begin("lease")
        ttl_ms = request.media["ttl_ms"]
        number = self.random.randrange(1, 2**48)
        self.leases[number] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1_000)
        response.media = {"lease": number, "ttl_ms": ttl_ms}

    def on_post_keep(
        self, _: falcon.Request, response: falcon.Response, number: int
    ) -> None:
        """Renew a lease."""
        self._begin("keep")
        lease = self.leases.get(number)
        if lease is None:
            raise falcon.HTTPNotFound
        lease.ends_at = time.monotonic() + lease.ttl_ms / 1_000
        response.media = {"ttl_ms": lease.ttl_ms}

    def on_delete_lease_end(
        self, _: falcon.Request, response: falcon.Response, number: int
    ) -> None:
        """End a lease."""
        self._begin("lease_end")
        lease = self.leases.get(number)
        if lease is None:
            raise falcon.HTTPNotFound
        lease.ends_at = 0.0
        response.media = {}

    def _begin(self, operation: str) -> None:
        self.calls[operation] += 1
        if self.faults.delay_seconds:
            gevent.sleep(self.faults.delay_seconds)
        if self.faults.is_down:
            raise falcon.HTTPServiceUnavailable

    def _apply(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        rows = body.get("precondition", [])
        held = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any(
            (held[r["key"]].revision if held[r["key"]] else 0) != r["revision"]
            for r in rows
        ):
            items = [self._item(key) for key in held if key in self.items]
            return falcon.HTTP_412, {"items": items}
        leases = [put.get("lease", 0) for put in body.get("puts", [])]
        if any(lease and lease not in self.leases for lease in leases):
            return falcon.HTTP_404, {}
        for put in body.get("puts", []):
            self.put(put["key"], b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.delete(key)
        return falcon.HTTP_200, {"revision": self.revision}

    def _remember(self, key: str, item: Item | None) -> None:
        self.history.append((self.revision, key, item))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = Event()

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = []
        for revision, key, item in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            gone = {"key": key, "revision": revision, "tombstone": True}
            events.append(gone if item is None else _describe(key, item))
        return events

    def _item(self, key: str) -> dict[str, Any]:
        return _describe(key, self.items[key])


def _describe(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": b64encode(item.value).decode(),
        "revision": item.revision,
        "created_at": item.created_at,
        "lease": item.lease,
    }


def document(body: dict[str, Any]) -> bytes:
    """Return a value of the store."""
    return json.dumps(body).encode()
