"""Simulated store that implements the platform's published protocol, with faults."""

import json
import time
from base64 import b64decode, b64encode
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

N_ITEMS_PER_PAGE = 50
COPY_INTERVAL_SECONDS = 0.5
N_COPIES = 20
"""Interval and number of copies that the store keeps of itself: the last 10 s."""

ERA_HEADER = "Store-Era"
LATE_APPLY_SECONDS = 1.0


@dataclass
class StoreFaults:
    """Faults that are active now."""

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_response_share: float = 0.0
    stale_seconds: float = 0.0


@dataclass
class Item:
    """Value and metadata of one key."""

    value: bytes
    revision: int
    created_at: int
    lease: int


@dataclass
class Lease:
    """A lease; `expires_at` is in seconds of the monotonic clock."""

    ttl_ms: int
    expires_at: float


@dataclass
class StoreCopy:
    """Content of the store at one time."""

    taken_at: float
    revision: int
    compacted_revision: int
    items: dict[str, Item]
    history: list[tuple[int, str, Item | None]]
    leases: dict[int, int]


class _EraMiddleware:
    """Adds the store's era to each answer."""

    def __init__(self, store: "SimulatedStore") -> None:
        self._store = store

    def process_response(self, request, response, resource, req_succeeded) -> None:
        """Set the header, unless the store never returned from a copy."""
        era = response.context.get("era", self._store.era)
        if era:
            response.set_header(ERA_HEADER, str(era))


@dataclass
class SimulatedStore:
    """Keys, history and leases, with the HTTP handlers."""

    random: Random
    faults: StoreFaults = field(default_factory=StoreFaults)
    items: dict[str, Item] = field(default_factory=dict)
    history: list[tuple[int, str, Item | None]] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 1
    compacted_revision: int = 0
    calls: Counter = field(default_factory=Counter)
    change_event: Event = field(default_factory=Event)
    era: int = 0
    copies: deque[StoreCopy] = field(default_factory=lambda: deque(maxlen=N_COPIES))

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key and return the new revision."""
        self.revision += 1
        current = self.items.get(key)
        created_at = current.created_at if current else self.revision
        item = Item(value, self.revision, created_at, lease)
        self.items[key] = item
        self._append_history(key, item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove one key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_history(key, None)

    def compact(self) -> None:
        """Discard the history; watches from older revisions fail."""
        self.compacted_revision = self.revision
        self.history.clear()
        self._notify_watchers()

    def revoke(self, prefix: str) -> None:
        """Revoke the leases of all keys with a prefix and delete the keys."""
        for key in [key for key in self.items if key.startswith(prefix)]:
            self.leases.pop(self.items[key].lease, None)
            self.delete(key)

    def take_copies(self) -> None:
        """Take a copy at regular intervals; never returns."""
        while True:
            self.copies.append(
                StoreCopy(
                    time.monotonic(),
                    self.revision,
                    self.compacted_revision,
                    dict(self.items),
                    list(self.history),
                    {number: lease.ttl_ms for number, lease in self.leases.items()},
                )
            )
            gevent.sleep(COPY_INTERVAL_SECONDS)

    def restore(self, age_seconds: float) -> None:
        """Return from the copy whose age is closest to `age_seconds`, in a new era."""
        taken_at = time.monotonic() - age_seconds
        copy = min(self.copies, key=lambda copy: abs(copy.taken_at - taken_at))
        self.era += 1
        self.revision = copy.revision
        self.compacted_revision = copy.compacted_revision
        self.items, self.history = dict(copy.items), list(copy.history)
        now = time.monotonic()
        self.leases = {
            number: Lease(ttl_ms, now + ttl_ms / 1_000)
            for number, ttl_ms in copy.leases.items()
        }
        self._notify_watchers()

    def expire_leases(self) -> None:
        """Expire leases, also while the store is down; never returns."""
        while True:
            gevent.sleep(0.05)
            now = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if lease.expires_at <= now:
                    del self.leases[lease_id]
                    for key in [
                        k for k, i in self.items.items() if i.lease == lease_id
                    ]:
                        self.delete(key)

    def create_server(self, address: tuple[str, int]) -> WSGIServer:
        """Return the HTTP server, not yet started."""
        app = falcon.App(middleware=_EraMiddleware(self))
        for path in ("kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease"):
            app.add_route(f"/api/{path}", self, suffix=path.replace("-", "_"))
        app.add_route("/api/kv-keep/{number:int}", self, suffix="keep")
        app.add_route("/api/kv-lease-end/{number:int}", self, suffix="lease_end")
        return WSGIServer(address, app, log=None, error_log=None)

    def on_get_kv_key(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return one item."""
        self._start_call("key")
        key = request.get_param("key", required=True)
        if key not in self.items:
            raise falcon.HTTPNotFound
        body = {**self._item_body(key), "store_revision": self.revision}
        response.media = body

    def on_get_kv_range(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return a page of items."""
        self._start_call("range")
        prefix = request.get_param("prefix") or ""
        after = request.get_param("after") or ""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        response.media = {
            "items": [self._item_body(key) for key in keys[:N_ITEMS_PER_PAGE]],
            "has_more": len(keys) > N_ITEMS_PER_PAGE,
            "store_revision": self.revision,
        }

    def on_get_kv_watch(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return the changes after a revision; waits for the first one."""
        self._start_call("watch")
        prefix = request.get_param("prefix") or ""
        after = request.get_param_as_int("after", required=True)
        deadline = time.monotonic() + request.get_param_as_int("wait_ms") / 1_000
        while True:
            if after < self.compacted_revision or after > self.revision:
                raise falcon.HTTPGone
            if self.faults.is_down:
                raise falcon.HTTPServiceUnavailable
            events = self._events_after(prefix, after)
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                break
            self.change_event.wait(remaining)
        response.media = {"events": events, "store_revision": self.revision}

    def on_post_kv_txn(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Change several keys atomically."""
        self._start_call("txn")
        body = request.media
        response.context["era"] = self.era
        if self.random.random() < self.faults.lost_response_share:
            if self.random.random() < 0.5:
                gevent.spawn_later(LATE_APPLY_SECONDS, self._apply_transaction, body)
            else:
                self._apply_transaction(body)
            gevent.sleep(30)
            raise falcon.HTTPServiceUnavailable
        status, result = self._apply_transaction(body)
        response.status, response.media = status, result

    def on_post_kv_lease(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Grant a lease."""
        self._start_call("lease")
        ttl_ms = request.media["ttl_ms"]
        lease_id = self.random.randrange(1, 2**48)
        self.leases[lease_id] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1_000)
        response.media = {"lease": lease_id, "ttl_ms": ttl_ms}

    def on_post_keep(
        self, _: falcon.Request, response: falcon.Response, number: int
    ) -> None:
        """Renew a lease."""
        self._start_call("keep")
        lease = self.leases.get(number)
        if lease is None:
            raise falcon.HTTPNotFound
        lease.expires_at = time.monotonic() + lease.ttl_ms / 1_000
        response.media = {"ttl_ms": lease.ttl_ms}

    def on_delete_lease_end(
        self, _: falcon.Request, response: falcon.Response, number: int
    ) -> None:
        """End a lease."""
        self._start_call("lease_end")
        lease = self.leases.get(number)
        if lease is None:
            raise falcon.HTTPNotFound
        lease.expires_at = 0.0
        response.media = {}

    def _start_call(self, operation: str) -> None:
        self.calls[operation] += 1
        if self.faults.delay_seconds:
            gevent.sleep(self.faults.delay_seconds)
        if self.faults.is_down:
            raise falcon.HTTPServiceUnavailable

    def _apply_transaction(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        preconditions = body.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in preconditions}
        if any(
            (current[r["key"]].revision if current[r["key"]] else 0) != r["revision"]
            for r in preconditions
        ):
            items = [self._item_body(key) for key in current if key in self.items]
            return falcon.HTTP_412, {"items": items}
        leases = [put.get("lease", 0) for put in body.get("puts", [])]
        if any(lease and lease not in self.leases for lease in leases):
            return falcon.HTTP_404, {}
        for put in body.get("puts", []):
            self.put(put["key"], b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.delete(key)
        return falcon.HTTP_200, {"revision": self.revision}

    def _append_history(self, key: str, item: Item | None) -> None:
        self.history.append((self.revision, key, item))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.change_event.set()
        self.change_event = Event()

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = []
        for revision, key, item in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            tombstone = {"key": key, "revision": revision, "tombstone": True}
            events.append(tombstone if item is None else _encode_item(key, item))
        return events

    def _item_body(self, key: str) -> dict[str, Any]:
        return _encode_item(key, self.items[key])


def _encode_item(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": b64encode(item.value).decode(),
        "revision": item.revision,
        "created_at": item.created_at,
        "lease": item.lease,
    }


def encode_document(body: dict[str, Any]) -> bytes:
    """Encode a document as a store value."""
    return json.dumps(body).encode()
