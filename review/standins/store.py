"""The platform's store: items, history, watches and leases over HTTP/1.1."""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

PAGE_ITEMS = 500

Answer = tuple[int, dict[str, Any]]
DOWN: Answer = (503, {"error": "unavailable"})


@dataclass
class Item:
    """One key's value and revisions."""

    value: bytes
    revision: int
    created_at: int
    lease: int


class Store:
    """Keys with one revision counter.

    Attributes
    ----------
    is_down : bool
        While it is set, every call is answered with 503, and nothing is done.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.n_calls = 0
        self._history: list[tuple[int, str, Item | None]] = []
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 7_000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._reaper: asyncio.Task[None] | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, *address)
        self._reaper = asyncio.create_task(self._end_leases())

    async def stop(self) -> None:
        """Stop listening."""
        if self._reaper is not None:
            self._reaper.cancel()
        if self._server is not None:
            self._server.close()

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; waiting watches are answered."""
        self.is_down = is_down
        self._notify()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key and return its revision."""
        self.revision += 1
        held = self.items.get(key)
        created_at = self.revision if held is None else held.created_at
        item = Item(value, self.revision, created_at, lease)
        self.items[key] = item
        self._history.append((self.revision, key, item))
        self._notify()
        return self.revision

    def put_json(self, key: str, body: dict[str, Any]) -> int:
        """Write one key whose value is JSON."""
        return self.put(key, json.dumps(body).encode())

    def remove(self, key: str) -> int | None:
        """Remove one key; return the revision, or None if it does not exist."""
        if self.items.pop(key, None) is None:
            return None
        self.revision += 1
        self._history.append((self.revision, key, None))
        self._notify()
        return self.revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            ended = {n for n, (_, until) in self._leases.items() if until <= now}
            for lease in ended:
                del self._leases[lease]
            for key in [k for k, i in self.items.items() if i.lease in ended]:
                if self.items[key].lease:
                    self.remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if ": " in line
                )
                n_bytes = int(headers.get("content-length", "0"))
                body = await reader.readexactly(n_bytes) if n_bytes else b""
                self.n_calls += 1
                status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> Answer:
        if self.is_down:
            return DOWN
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        if path == "/api/kv-watch":
            return await self._watch(query)
        handlers: dict[str, Callable[[dict[str, str], bytes], Answer]] = {
            "/api/kv-key": self._key,
            "/api/kv-range": self._range,
            "/api/kv-txn": self._txn,
            "/api/kv-lease": self._lease,
        }
        if path in handlers:
            return handlers[path](query, body)
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        ttl_ms, _ = self._leases[lease]
        is_end = method == "DELETE"
        self._leases[lease] = (
            ttl_ms,
            time.monotonic() + (0 if is_end else ttl_ms / 1e3),
        )
        return 200, {} if is_end else {"ttl_ms": ttl_ms}

    def _body(self, key: str, item: Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created_at": item.created_at,
            "lease": item.lease,
        }

    def _key(self, query: dict[str, str], _: bytes) -> Answer:
        item = self.items.get(query["key"])
        if item is None:
            return 404, {}
        body = self._body(query["key"], item)
        return 200, {**body, "store_revision": self.revision}

    def _range(self, query: dict[str, str], _: bytes) -> Answer:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self._body(k, self.items[k]) for k in keys[:PAGE_ITEMS]]
        return 200, {
            "items": items,
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            if self.is_down:
                return DOWN
            events = [
                {"key": key, "revision": revision, "tombstone": True}
                if item is None
                else self._body(key, item)
                for revision, key, item in self._history
                if revision > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            await _wait(self._changed.wait(), left)

    def _txn(self, _: dict[str, str], body: bytes) -> Answer:
        call = json.loads(body)
        rows = call.get("precondition", [])
        held = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any(
            row["revision"] != (held[row["key"]].revision if held[row["key"]] else 0)
            for row in rows
        ):
            items = [self._body(key, item) for key, item in held.items() if item]
            return 412, {"items": items}
        puts = call.get("puts", [])
        if any(p.get("lease") and p["lease"] not in self._leases for p in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _lease(self, _: dict[str, str], body: bytes) -> Answer:
        ttl_ms = int(json.loads(body)["ttl_ms"])
        self._next_lease += 1
        self._leases[self._next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
        return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}


async def _wait(awaitable: Awaitable[Any], seconds: float) -> None:
    try:
        await asyncio.wait_for(awaitable, seconds)
    except TimeoutError:
        return
