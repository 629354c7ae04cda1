"""Flows that this balancer opened, for counting and for judging silence.

No other balancer needs these rows: packets name their server. They count open
flows per server, and hold an opening packet until the caller goes on.
"""

from collections import deque

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow


class FlowRow:
    """One flow that was opened here.

    Parameters
    ----------
    key : bytes
        Caller's and service's address and port.
    server : ServerRow
        Where the latest opening packet went, or, once answered, where it is open.
    destination : bytes
        Service's address and port.
    opening : bytes
        The opening packet; kept until the caller goes on.
    now : Millis
        When it came and was sent on.
    judge_at : Millis
        When silence after the opening tells of the server.
    """

    __slots__ = (
        "asked_at",
        "destination",
        "has_followed",
        "judge_at",
        "key",
        "last_at",
        "opening",
        "sent_at",
        "server",
        "tried",
    )

    def __init__(
        self,
        key: bytes,
        server: ServerRow,
        *,
        destination: bytes,
        opening: bytes,
        now: Millis,
        judge_at: Millis,
    ) -> None:
        self.key = key
        self.server = server
        self.destination = destination
        self.opening: bytes | None = opening
        self.sent_at = now
        self.last_at = now
        self.judge_at = judge_at
        self.tried = [server]
        self.has_followed = False
        self.asked_at: Millis | None = None


class FlowTable:
    """Rows by key, and queues ordered by time."""

    def __init__(self) -> None:
        self._rows: dict[bytes, FlowRow] = {}
        self._waiting: deque[tuple[Millis, FlowRow]] = deque()
        self._by_age: deque[FlowRow] = deque()

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def n_waiting(self) -> int:
        """Return how many opening packets wait for a follow-up."""
        return len(self._waiting)

    def get(self, key: bytes) -> FlowRow | None:
        """Return the flow with this key, or None."""
        return self._rows.get(key)

    def open(self, row: FlowRow, *, is_judged: bool) -> None:
        """Add a new flow and count it at its server.

        Parameters
        ----------
        row : FlowRow
            The flow.
        is_judged : bool
            Whether silence after its opening tells of the server.
        """
        self._rows[row.key] = row
        self._by_age.append(row)
        row.server.n_open += 1
        row.server.n_unanswered += 1
        if is_judged:
            self.wait(row)

    def wait(self, row: FlowRow) -> None:
        """Judge the flow at its `judge_at` unless a packet follows until then."""
        self._waiting.append((row.judge_at, row))

    def move(self, row: FlowRow, server: ServerRow) -> None:
        """Count a flow at another server."""
        row.server.n_open -= 1
        server.n_open += 1
        if not row.has_followed:
            row.server.n_unanswered -= 1
            server.n_unanswered += 1
        row.server = server

    def retry(self, row: FlowRow, server: ServerRow, now: Millis) -> None:
        """Count an unanswered flow at a further server that gets its opening."""
        self.move(row, server)
        row.tried.append(server)
        row.sent_at = now

    def follow(self, row: FlowRow) -> None:
        """Note that the caller has gone on."""
        row.has_followed = True
        row.opening = None
        row.server.n_unanswered -= 1

    def ask(self, row: FlowRow, now: Millis) -> None:
        """Note that the caller has sent a request."""
        if row.asked_at is None:
            row.asked_at = now
            row.server.n_asked += 1

    def take_asked(self, row: FlowRow) -> Millis | None:
        """Return when an unanswered request was sent, and take it for answered."""
        asked_at, row.asked_at = row.asked_at, None
        if asked_at is not None:
            row.server.n_asked -= 1
        return asked_at

    def close(self, row: FlowRow) -> None:
        """Forget a flow."""
        if self._rows.pop(row.key, None) is None:
            return
        self.take_asked(row)
        row.server.n_open -= 1
        if not row.has_followed:
            row.server.n_unanswered -= 1

    def take_overdue(self, now: Millis) -> list[FlowRow]:
        """Return the flows whose opening packet has waited for long enough."""
        overdue = []
        while self._waiting and self._waiting[0][0] <= now:
            _, row = self._waiting.popleft()
            if not row.has_followed and self._rows.get(row.key) is row:
                overdue.append(row)
        return overdue

    def expire(self, now: Millis, *, idle: Millis, unanswered: Millis) -> int:
        """Forget flows that have been silent for long; return how many.

        Parameters
        ----------
        now : Millis
            Current time.
        idle : Millis
            Limit for flows whose caller has gone on.
        unanswered : Millis
            Limit for flows whose caller has not, and for requests to count as load.
        """
        n_expired = 0
        for _ in range(len(self._by_age)):
            row = self._by_age.popleft()
            if self._rows.get(row.key) is not row:
                continue
            if row.asked_at is not None and now - row.asked_at >= unanswered:
                self.take_asked(row)
            limit = idle if row.has_followed else unanswered
            if now - row.last_at >= limit:
                self.close(row)
                n_expired += 1
            else:
                self._by_age.append(row)
        return n_expired
