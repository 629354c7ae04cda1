"""What other balancers tell of backend servers: their load, and whether they fail."""

from collections.abc import Iterable

from stoattray_core._identifiers import Millis
from stoattray_core.steering.failures import Failures
from stoattray_core.steering.members import Heartbeat
from stoattray_core.steering.servers import ServerRow, ServerTable


class PeerReports:
    """The latest report of each peer, counted at the servers.

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
        self._loads: dict[str, list[tuple[ServerRow, int]]] = {}
        self._opinions: dict[int, set[str]] = {}

    def take(self, heartbeat: Heartbeat, now: Millis) -> None:
        """Replace what a peer told before."""
        name = heartbeat.member.name
        self._forget(name)
        told = []
        for cookie, n_requests in heartbeat.n_asked.items():
            server = self._servers.by_cookie(cookie)
            if server is not None:
                server.peer_load += n_requests
                told.append((server, n_requests))
        self._loads[name] = told
        for cookie in heartbeat.failing:
            self._opinions.setdefault(cookie, set()).add(name)
            self._judge(cookie, now)

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget the reports of all peers but those named."""
        kept = set(names)
        for name in [name for name in self._loads if name not in kept]:
            self._forget(name)

    def _judge(self, cookie: int, now: Millis) -> None:
        server = self._servers.by_cookie(cookie)
        if server is None:
            return
        n_servers = self._servers.n_of_service(server.entry.service)
        n_peers = len(self._opinions[cookie])
        self._failures.note_opinions(server, n_peers, now, n_servers=n_servers)

    def _forget(self, name: str) -> None:
        for server, n_requests in self._loads.pop(name, ()):
            server.peer_load -= n_requests
        for cookie, peers in list(self._opinions.items()):
            peers.discard(name)
            if not peers:
                del self._opinions[cookie]
