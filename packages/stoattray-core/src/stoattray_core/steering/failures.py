"""Backend servers that fail requests while they look healthy.

A failed answer comes far sooner than a served one, so a server whose requests are often
answered far too fast is taken to fail. Such a server would otherwise get most flows,
since its flows end first. Opinions of two other balancers count like the own one, and
a single one makes the own judgement quicker.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

SMOOTHING = 0.15
"""Share of a new request in a server's share of fast answers."""

FAILING_SHARE = 0.3
"""Share of fast answers of a failing server: three in a row, or a third of all. Below
one in a hundred good answers are so fast."""

PRIOR_SHARE = 0.25
"""Share that one other balancer's opinion gives: one fast answer then confirms it."""

FAILING_MILLIS = 4_000
"""How long a failing server waits its turn before it is tried again."""

RETRIED_SHARE = 0.2
"""Share that a server is tried again with: one fast answer proves it failing still."""

N_PEERS_AGREEING = 2
"""Other balancers whose opinions together count like the own one."""

MAX_FAILING_SHARE = 0.5
"""Most of a service's servers that wait their turn for this; beyond it the judgement
itself is in doubt, and the rest would be overloaded."""


class Failures:
    """Judges servers by how many of their answers are far too fast."""

    def __init__(self) -> None:
        self._failing: dict[str, dict[str, ServerRow]] = {}

    def note_answer(
        self, server: ServerRow, now: Millis, *, is_fast: bool, n_servers: int
    ) -> bool:
        """Note an answer; return whether its server is newly taken to fail.

        Parameters
        ----------
        server : ServerRow
            Server that answered.
        now : Millis
            Current time.
        is_fast : bool
            Whether the answer came far too fast.
        n_servers : int
            Servers of its service.
        """
        server.fast_share += (is_fast - server.fast_share) * SMOOTHING
        if not is_fast or server.fast_share < FAILING_SHARE:
            return False
        return self._take_failing(server, now, n_servers)

    def note_opinions(
        self, server: ServerRow, n_peers: int, now: Millis, *, n_servers: int
    ) -> bool:
        """Note how many other balancers take a server to fail."""
        if n_peers >= N_PEERS_AGREEING:
            return self._take_failing(server, now, n_servers)
        server.fast_share = max(server.fast_share, PRIOR_SHARE)
        return False

    def cookies(self) -> tuple[int, ...]:
        """Return the servers that this balancer itself takes to fail."""
        return tuple(
            row.cookie
            for rows in self._failing.values()
            for row in rows.values()
            if row.is_own_verdict
        )

    def forget(self, now: Millis) -> None:
        """Try servers again that have waited for long enough."""
        for rows in self._failing.values():
            for name in [n for n, row in rows.items() if row.failing_until <= now]:
                server = rows.pop(name)
                server.fast_share = RETRIED_SHARE
                server.is_own_verdict = False

    def _take_failing(self, server: ServerRow, now: Millis, n_servers: int) -> bool:
        rows = self._failing.setdefault(server.entry.service, {})
        if server.name not in rows and len(rows) + 1 > n_servers * MAX_FAILING_SHARE:
            return False
        is_news = server.name not in rows
        rows[server.name] = server
        server.is_own_verdict = server.fast_share >= FAILING_SHARE
        server.failing_until = now + FAILING_MILLIS
        return is_news
