"""Load and failures of backend servers as reported by other balancers."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.fast_failure_detector import FastFailureDetector
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.servers import ServerRow, ServerTable

LOAD_SMOOTHING_MILLIS = 1_500
"""Time constant for averaging the load that a peer reports. Reports are up to 0.2 s old
and requests take 30 ms. Without averaging, all balancers selected the same server at
once. Trials: docs/design/0005."""

MIN_SMOOTHED_REQUESTS = 0.01
"""Smoothed numbers of requests below this are dropped."""


class _Load(NamedTuple):
    """Pending requests of one peer by server: as last reported, and smoothed."""

    updated_at: Millis
    reported: dict[ServerRow, int]
    smoothed: dict[ServerRow, float]


class PeerReports:
    """Applies the reports of each peer to the servers.

    Parameters
    ----------
    servers : ServerTable
        Servers whose `peer_load` is updated.
    failure_detector : FastFailureDetector
        Receives the number of peers that report a server as failing.
    """

    def __init__(
        self, servers: ServerTable, failure_detector: FastFailureDetector
    ) -> None:
        self._servers = servers
        self._failure_detector = failure_detector
        self._loads: dict[str, _Load] = {}
        self._reporting_peers: dict[int, set[str]] = {}

    def apply(self, heartbeat: Heartbeat, now: Millis) -> None:
        """Apply a peer's report; its load is smoothed, its verdicts apply at once."""
        name = heartbeat.member.name
        self._apply_load(name, heartbeat.pending_requests, now)
        self._remove_failing(name)
        for cookie in heartbeat.failing_cookies:
            self._reporting_peers.setdefault(cookie, set()).add(name)
            self._apply_failing(cookie, now)

    def retain(self, names: Iterable[str]) -> None:
        """Drop the reports of all peers except those named."""
        kept = set(names)
        for name in [name for name in self._loads if name not in kept]:
            self._remove_load(name)
            self._remove_failing(name)

    def requests_by_service(self, names: Iterable[str]) -> Counter[str]:
        """Return the requests in the latest reports of the peers named, by service."""
        n_requests: Counter[str] = Counter()
        for name in names:
            load = self._loads.get(name)
            for server, n in load.reported.items() if load is not None else ():
                n_requests[server.entry.service] += n
        return n_requests

    def _apply_load(self, name: str, requests: dict[int, int], now: Millis) -> None:
        reported = {
            server: n_requests
            for cookie, n_requests in requests.items()
            if (server := self._servers.by_cookie(cookie)) is not None
        }
        smoothed = _smooth(self._loads.get(name), reported, now)
        self._remove_load(name)
        for server, n_requests in reported.items():
            server.n_peer_requests += n_requests
            server.peer_reported_at = now
        for server, load in smoothed.items():
            server.peer_load += load
        self._loads[name] = _Load(now, reported, smoothed)

    def _apply_failing(self, cookie: int, now: Millis) -> None:
        server = self._servers.by_cookie(cookie)
        if server is None:
            return
        n_servers = self._servers.n_of_service(server.entry.service)
        n_peers = len(self._reporting_peers[cookie])
        self._failure_detector.note_peer_verdicts(
            server, n_peers, now, n_servers=n_servers
        )

    def _remove_load(self, name: str) -> None:
        load = self._loads.pop(name, None)
        if load is None:
            return
        for server, n_requests in load.reported.items():
            server.n_peer_requests -= n_requests
        for server, smoothed in load.smoothed.items():
            server.peer_load -= smoothed

    def _remove_failing(self, name: str) -> None:
        for cookie, peers in list(self._reporting_peers.items()):
            peers.discard(name)
            if not peers:
                del self._reporting_peers[cookie]


def _smooth(
    previous: _Load | None, reported: dict[ServerRow, int], now: Millis
) -> dict[ServerRow, float]:
    """Return the smoothed number of pending requests after a new report."""
    if previous is None:
        return {server: float(n_requests) for server, n_requests in reported.items()}
    decay = math.exp((previous.updated_at - now) / LOAD_SMOOTHING_MILLIS)
    smoothed = {}
    for server in previous.smoothed.keys() | reported.keys():
        old, new = previous.smoothed.get(server, 0.0), reported.get(server, 0)
        load = new + (old - new) * decay
        if load >= MIN_SMOOTHED_REQUESTS:
            smoothed[server] = load
    return smoothed
