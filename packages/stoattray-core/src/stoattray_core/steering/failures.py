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

BUSY_FLOWS_PER_SLOT = 2
"""A server with more open flows may refuse work at once because its queue is full,
which is no failure; a failing one has few, as its flows end early."""

N_PEERS_AGREEING = 2
"""Other balancers whose opinions together count like the own one."""

OPINION_MILLIS = 600
"""How long others' opinions hold untold; heartbeats come each 0.2 s."""

MAX_FAILING_SHARE = 0.5
"""Most of a service's servers that wait their turn for this; beyond it the judgement
is in doubt itself, and the rest would be overloaded."""


class Failures:
    """Judges servers by how many of their answers are far too fast."""

    def __init__(self) -> None:
        self._own: dict[str, dict[str, ServerRow]] = {}

    def note_answer(
        self,
        server: ServerRow,
        now: Millis,
        *,
        is_fast: bool,
        is_pressed: bool,
        n_servers: int,
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
        is_pressed : bool
            Whether the service has more flows than slots; full servers refuse work
            at once, which is no failure.
        n_servers : int
            Servers of its service.
        """
        n_flows = server.n_open + server.peer_load
        if is_fast and n_flows > BUSY_FLOWS_PER_SLOT * server.entry.capacity:
            return False
        if is_fast and is_pressed:
            return False
        server.fast_share += (is_fast - server.fast_share) * SMOOTHING
        if not is_fast or server.fast_share < FAILING_SHARE:
            return False
        rows = self._own.setdefault(server.entry.service, {})
        if server.name not in rows and len(rows) + 1 > n_servers * MAX_FAILING_SHARE:
            return False
        is_news = server.name not in rows
        rows[server.name] = server
        server.failing_until = now + FAILING_MILLIS
        server.own_verdict_until = now + FAILING_MILLIS
        return is_news

    def note_opinions(
        self, server: ServerRow, n_peers: int, now: Millis, *, n_servers: int
    ) -> None:
        """Note how many other balancers found a server to fail by themselves."""
        if n_peers < N_PEERS_AGREEING:
            server.fast_share = max(server.fast_share, PRIOR_SHARE)
        elif n_servers * MAX_FAILING_SHARE >= 1:
            server.failing_until = max(server.failing_until, now + OPINION_MILLIS)

    def cookies(self, now: Millis) -> tuple[int, ...]:
        """Return the servers that this balancer itself found to fail."""
        return tuple(
            row.cookie
            for rows in self._own.values()
            for row in rows.values()
            if now < row.own_verdict_until
        )

    def forget(self, now: Millis) -> None:
        """Try servers again that have waited for long enough."""
        for rows in self._own.values():
            for name in [n for n, row in rows.items() if row.own_verdict_until <= now]:
                rows.pop(name).fast_share = RETRIED_SHARE
