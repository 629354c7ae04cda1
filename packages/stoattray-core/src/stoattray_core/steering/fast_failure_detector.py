"""Detection of backend servers that fail requests while they look healthy.

A failed response comes much sooner than a served one, so a server that often responds
too fast is considered failing. It would otherwise attract most flows, since its flows
end first. Verdicts of two other balancers count like this balancer's; a single one
lowers the number of fast responses that this balancer needs for its own.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

SMOOTHING_FACTOR = 0.15
"""Weight of a new response in a server's share of fast responses."""

FAILING_FAST_SHARE = 0.3
"""Share of fast responses from which a server is failing: three in a row, or a third of
all. Fewer than one in a hundred served responses are as fast."""

PEER_REPORTED_FAST_SHARE = 0.25
"""Share assumed after one peer's verdict; one fast response then confirms it."""

FAILING_MILLIS = 4_000
"""How long a failing server is deprioritised before it is retried."""

RETRY_FAST_SHARE = 0.2
"""Share assumed at a retry; one fast response then shows that the server still
fails."""

BUSY_FLOWS_PER_SLOT = 2
"""A server with more open flows may refuse requests at once because its queue is full,
which is not a failure; a failing server has few, as its flows end early."""

N_CONFIRMING_PEERS = 2
"""Peers whose verdicts together count like this balancer's."""

PEER_VERDICT_MILLIS = 600
"""How long peers' verdicts hold without renewal; heartbeats arrive every 0.2 s."""

MAX_FAILING_SHARE = 0.5
"""Largest share of a service's servers that may be deprioritised as failing. Beyond it
the detection itself is doubtful, and the remaining servers would be overloaded."""


class FastFailureDetector:
    """Finds failing servers by their share of responses that are too fast."""

    def __init__(self) -> None:
        self._failing: dict[str, dict[str, ServerRow]] = {}

    def note_response(
        self,
        server: ServerRow,
        now: Millis,
        *,
        is_fast: bool,
        is_saturated: bool,
        n_servers: int,
    ) -> bool:
        """Note a response; return whether its server is newly failing.

        Parameters
        ----------
        server : ServerRow
            Server that responded.
        now : Millis
            Current time.
        is_fast : bool
            Whether the response was too fast for a served request.
        is_saturated : bool
            Whether the service has more flows than slots; full servers refuse
            requests at once, which is not a failure.
        n_servers : int
            Number of servers of its service.
        """
        n_flows = server.n_open + server.peer_load
        if is_fast and n_flows > BUSY_FLOWS_PER_SLOT * server.entry.capacity:
            return False
        if is_fast and is_saturated:
            return False
        server.fast_share += (is_fast - server.fast_share) * SMOOTHING_FACTOR
        if not is_fast or server.fast_share < FAILING_FAST_SHARE:
            return False
        rows = self._failing.setdefault(server.entry.service, {})
        if server.name not in rows and len(rows) + 1 > n_servers * MAX_FAILING_SHARE:
            return False
        is_new = server.name not in rows
        rows[server.name] = server
        server.failing_until = now + FAILING_MILLIS
        server.own_verdict_until = now + FAILING_MILLIS
        return is_new

    def note_peer_verdicts(
        self, server: ServerRow, n_peers: int, now: Millis, *, n_servers: int
    ) -> None:
        """Note how many peers themselves found a server to be failing."""
        if n_peers < N_CONFIRMING_PEERS:
            server.fast_share = max(server.fast_share, PEER_REPORTED_FAST_SHARE)
        elif n_servers * MAX_FAILING_SHARE >= 1:
            server.failing_until = max(server.failing_until, now + PEER_VERDICT_MILLIS)

    def failing_cookies(self, now: Millis) -> tuple[int, ...]:
        """Return cookies of the servers that this balancer itself found failing."""
        return tuple(
            row.cookie
            for rows in self._failing.values()
            for row in rows.values()
            if now < row.own_verdict_until
        )

    def expire(self, now: Millis) -> None:
        """Clear this balancer's expired verdicts, so that the servers are retried."""
        for rows in self._failing.values():
            for name in [n for n, row in rows.items() if row.own_verdict_until <= now]:
                rows.pop(name).fast_share = RETRY_FAST_SHARE
