"""Stand-in of the platform's store: keys, history, leases, watches, over HTTP."""

import asyncio
import base64
import contextlib
import json
import time
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500
RETENTION_SECONDS = 20.0
STATUS_TEXT = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Store:
    """Keys and their history; each balancer has a listener of its own.

    Attributes
    ----------
    on_change : callable or None
        Gets (key, value or None, revision) after each change.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.n_watches_answered: Counter[str] = Counter()
        self.on_change: Callable[[str, bytes | None, int], None] | None = None
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._dropped_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 10
        self._n_leases = 100
        self._changed = asyncio.Event()
        self._waiting: dict[str, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, name: str, address: tuple[str, int]) -> None:
        """Serve the calls of one balancer at an address."""
        self._waiting[name] = set()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.add(writer)
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await self._serve_call(name, reader, writer):
                    pass
            self._writers.discard(writer)
            writer.close()

        self._servers.append(await asyncio.start_server(serve, *address))

    def close(self) -> None:
        """Stop listening, and close all connections."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        self._revision += 1
        held = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created_at": held["created_at"] if held else self._revision,
            "lease": lease,
        }
        self._note(self.items[key], value)
        return self._revision

    def remove(self, key: str) -> int:
        """Remove a key and return the revision."""
        if key in self.items:
            del self.items[key]
            self._revision += 1
            event = {"key": key, "revision": self._revision, "tombstone": True}
            self._note(event, None)
        return self._revision

    def cut_watch(self, name: str) -> int:
        """Close the connections on which a balancer's watch waits; return how many."""
        writers = list(self._waiting[name])
        for writer in writers:
            writer.transport.abort()
        return len(writers)

    def clean_up(self) -> None:
        """Drop old history and the keys of ended leases; called now and then."""
        now = time.monotonic()
        while self._history and now - self._history[0][0] > RETENTION_SECONDS:
            self._dropped_revision = self._history.pop(0)[1]["revision"]
        for number, (_, ends_at) in list(self._leases.items()):
            if ends_at <= now:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    def _note(self, event: dict[str, Any], value: bytes | None) -> None:
        self._history.append((time.monotonic(), dict(event)))
        self._changed.set()
        self._changed = asyncio.Event()
        if self.on_change is not None:
            self.on_change(event["key"], value, self._revision)

    async def _serve_call(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        method, target, _ = head.split("\r\n", 1)[0].split(" ")
        n_bytes = 0
        for line in head.split("\r\n")[1:]:
            field, _, text = line.partition(":")
            if field.lower() == "content-length":
                n_bytes = int(text)
        body = json.loads(await reader.readexactly(n_bytes)) if n_bytes else {}
        await asyncio.sleep(ANSWER_SECONDS)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/api/kv-watch":
            self._waiting[name].add(writer)
            try:
                status, answer = await self._watch(query)
            finally:
                self._waiting[name].discard(writer)
            if not writer.is_closing():
                self.n_watches_answered[name] += 1
        else:
            status, answer = self._answer(method, url.path, query, body)
        if writer.is_closing():
            return False
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Other')}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            "\r\n".encode()
            + data
        )
        await writer.drain()
        return True

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            changed = self._changed
            if after < self._dropped_revision:
                return 410, {}
            events = [
                event
                for _, event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "store_revision": self._revision,
            }
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            self._n_leases += 1
            seconds = body["ttl_ms"] / 1_000
            self._leases[self._n_leases] = seconds, time.monotonic() + seconds
            return 200, {"lease": self._n_leases, "ttl_ms": body["ttl_ms"]}
        number = int(path.rpartition("/")[2])
        if number not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(number)
        else:
            seconds = self._leases[number][0]
            self._leases[number] = seconds, time.monotonic() + seconds
        return 200, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body.get("precondition", [])
        held = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any(
            (held[r["key"]] or {"revision": 0})["revision"] != r["revision"]
            for r in rows
        ):
            return 412, {"items": [item for item in held.values() if item]}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) not in (0, *self._leases) for put in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}
