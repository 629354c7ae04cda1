"""What other balancers tell of backend servers: their load, and whether they fail."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.failures import Failures
from stoattray_core.steering.member_terms import Heartbeat
from stoattray_core.steering.servers import ServerRow, ServerTable

SMOOTHING_MILLIS = 2_500
"""Time over which what a peer tells of its load is averaged. Reports are up to 0.2 s
old and requests take 30 ms: taken as they come, all balancers refused at once and let
in at once, and a quarter of the slots stood idle. Trials: docs/design/0005."""

MIN_REQUESTS = 0.01
"""Smoothed requests below this are none."""


class _Load(NamedTuple):
    """What one peer told of its requests, smoothed: until when, and by server."""

    at: Millis
    requests: dict[ServerRow, float]


class PeerReports:
    """The reports of each peer, counted at the servers.

    Parameters
    ----------
    servers : ServerTable
        Whose load is counted.
    failures : Failures
        Takes opinions.
    """

    def __init__(self, servers: ServerTable, failures: Failures) -> None:
        self._servers = servers
        self._failures = failures
        self._loads: dict[str, _Load] = {}
        self._opinions: dict[int, set[str]] = {}

    def take(self, heartbeat: Heartbeat, now: Millis) -> None:
        """Take what a peer tells: its load on average, its opinions as they are."""
        name = heartbeat.member.name
        self._take_load(name, heartbeat.n_asked, now)
        self._forget_opinions(name)
        for cookie in heartbeat.failing:
            self._opinions.setdefault(cookie, set()).add(name)
            self._judge(cookie, now)

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget the reports of all peers but those named."""
        kept = set(names)
        for name in [name for name in self._loads if name not in kept]:
            self._forget_load(name)
            self._forget_opinions(name)

    def _take_load(self, name: str, n_asked: dict[int, int], now: Millis) -> None:
        told = {
            server: float(n_requests)
            for cookie, n_requests in n_asked.items()
            if (server := self._servers.by_cookie(cookie)) is not None
        }
        before = self._loads.get(name)
        if before is not None:
            kept = math.exp((before.at - now) / SMOOTHING_MILLIS)
            for server in before.requests.keys() | told.keys():
                old, new = before.requests.get(server, 0.0), told.get(server, 0.0)
                told[server] = new + (old - new) * kept
        told = {row: load for row, load in told.items() if load >= MIN_REQUESTS}
        self._forget_load(name)
        for server, load in told.items():
            server.peer_load += load
        self._loads[name] = _Load(now, told)

    def _judge(self, cookie: int, now: Millis) -> None:
        server = self._servers.by_cookie(cookie)
        if server is None:
            return
        n_servers = self._servers.n_of_service(server.entry.service)
        n_peers = len(self._opinions[cookie])
        self._failures.note_opinions(server, n_peers, now, n_servers=n_servers)

    def _forget_load(self, name: str) -> None:
        load = self._loads.pop(name, None)
        for server, n_requests in load.requests.items() if load else ():
            server.peer_load -= n_requests

    def _forget_opinions(self, name: str) -> None:
        for cookie, peers in list(self._opinions.items()):
            peers.discard(name)
            if not peers:
                del self._opinions[cookie]
