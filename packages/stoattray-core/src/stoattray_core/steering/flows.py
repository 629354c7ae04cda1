"""Table of the flows that this balancer opened.

It counts open flows and pending requests per server, and keeps each opening packet for
retries until a follow-up arrives. Other balancers don't need it: packets carry their
server's cookie.
"""

from collections import deque

from stoattray_core._identifiers import Millis
from stoattray_core.steering.packet import Packet
from stoattray_core.steering.servers import ServerRow


class FlowRow:
    """One flow that was opened here.

    Parameters
    ----------
    key : bytes
        Caller's and service's address and port.
    server : ServerRow
        Where the latest opening packet went or, once established, where it is open.
    destination : bytes
        Service's address and port.
    opening : bytes
        The opening packet; kept until the flow is established.
    now : Millis
        When it was received and forwarded.
    follow_up_due_at : Millis
        When the server counts as silent if no packet has followed.
    request_timeout_millis : Millis
        How long a request counts as pending at its server. Its response may remain
        unseen, as routers can move the flow to another balancer.
    opening_sequence : int
        Sequence number of the opening.
    has_other_openings : bool
        Whether another balancer may have forwarded an earlier transmission of it.

    Attributes
    ----------
    queueing_factor : float
        By how much the requests before its own lengthen the response to it; at least 1.
    idle_since : Millis or None
        When its last request was answered; None before, and while one is pending.
    first_sequence, first_acknowledgement : int
        Numbers of the first packet after the opening; 0 until the flow is established.
    """

    __slots__ = (
        "destination",
        "first_acknowledgement",
        "first_sequence",
        "follow_up_due_at",
        "has_other_openings",
        "idle_since",
        "is_counted_pending",
        "is_established",
        "key",
        "last_packet_at",
        "opening",
        "opening_sequence",
        "queueing_factor",
        "request_timeout_millis",
        "requested_at",
        "sent_at",
        "server",
        "tried_servers",
    )

    def __init__(
        self,
        key: bytes,
        server: ServerRow,
        *,
        destination: bytes,
        opening: bytes,
        now: Millis,
        follow_up_due_at: Millis,
        request_timeout_millis: Millis,
        opening_sequence: int,
        has_other_openings: bool,
    ) -> None:
        self.key = key
        self.server = server
        self.destination = destination
        self.opening: bytes | None = opening
        self.sent_at = now
        self.last_packet_at = now
        self.follow_up_due_at = follow_up_due_at
        self.tried_servers = [server]
        self.is_established = False
        self.request_timeout_millis = request_timeout_millis
        self.requested_at: Millis | None = None
        self.is_counted_pending = False
        self.queueing_factor = 1.0
        self.idle_since: Millis | None = None
        self.opening_sequence = opening_sequence
        self.has_other_openings = has_other_openings
        self.first_sequence = 0
        self.first_acknowledgement = 0


class FlowTable:
    """Flows by key, with a queue of follow-up deadlines and one for expiry."""

    def __init__(self) -> None:
        self._rows: dict[bytes, FlowRow] = {}
        self._follow_up_queue: deque[tuple[Millis, FlowRow]] = deque()
        self._expiry_queue: deque[FlowRow] = deque()
        self._request_queues: dict[Millis, deque[tuple[Millis, FlowRow]]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def n_awaiting_follow_up(self) -> int:
        """Return the length of the follow-up queue, established flows included."""
        return len(self._follow_up_queue)

    def get(self, key: bytes) -> FlowRow | None:
        """Return the flow with this key, or None."""
        return self._rows.get(key)

    def open(self, row: FlowRow, *, awaits_follow_up: bool) -> None:
        """Add a new flow and count it at its server.

        Parameters
        ----------
        row : FlowRow
            The flow.
        awaits_follow_up : bool
            Whether a missing follow-up counts against the server.
        """
        self._rows[row.key] = row
        self._expiry_queue.append(row)
        row.server.n_open += 1
        row.server.n_half_open += 1
        if awaits_follow_up:
            self.await_follow_up(row)

    def await_follow_up(self, row: FlowRow) -> None:
        """Report the flow as overdue at `follow_up_due_at` unless a packet follows."""
        self._follow_up_queue.append((row.follow_up_due_at, row))

    def move(self, row: FlowRow, server: ServerRow) -> None:
        """Count a flow at another server."""
        row.server.n_open -= 1
        server.n_open += 1
        if not row.is_established:
            row.server.n_half_open -= 1
            server.n_half_open += 1
        if row.idle_since is not None:
            row.server.n_idle -= 1
            server.n_idle += 1
        row.server = server

    def retry(self, row: FlowRow, server: ServerRow, now: Millis) -> None:
        """Move a half-open flow to the server that its opening is sent to next."""
        self.move(row, server)
        row.tried_servers.append(server)
        row.sent_at = now

    def establish(self, row: FlowRow, packet: Packet) -> None:
        """Mark a flow as established by its first packet after the opening."""
        row.is_established = True
        row.first_sequence = packet.sequence
        row.first_acknowledgement = packet.acknowledgement
        row.opening = None
        row.server.n_half_open -= 1

    def note_request(self, row: FlowRow, now: Millis) -> None:
        """Note that the caller sent a request, unless one is already pending."""
        if row.requested_at is None:
            row.requested_at = now
            row.is_counted_pending = True
            row.server.n_pending_requests += 1
            row.queueing_factor = row.server.queueing_factor(now)
            queue = self._request_queues.setdefault(row.request_timeout_millis, deque())
            queue.append((now, row))

    def note_idle(self, row: FlowRow, now: Millis) -> None:
        """Note that the last request of a flow was answered."""
        if row.idle_since is None:
            row.idle_since = now
            row.server.n_idle += 1

    def end_idle(self, row: FlowRow) -> Millis | None:
        """Note that a flow is no longer idle; return since when it was, or None."""
        idle_since, row.idle_since = row.idle_since, None
        if idle_since is not None:
            row.server.n_idle -= 1
        return idle_since

    def pop_request(self, row: FlowRow) -> Millis | None:
        """Clear the pending request; return when it was sent, or None."""
        requested_at, row.requested_at = row.requested_at, None
        self._uncount_request(row)
        return requested_at

    def expire_requests(self, now: Millis) -> None:
        """Stop counting requests as pending that are older than their timeout."""
        for timeout, queue in self._request_queues.items():
            while queue and now - queue[0][0] >= timeout:
                requested_at, row = queue.popleft()
                if row.requested_at == requested_at:
                    self._uncount_request(row)

    def _uncount_request(self, row: FlowRow) -> None:
        if row.is_counted_pending:
            row.is_counted_pending = False
            row.server.n_pending_requests -= 1

    def close(self, row: FlowRow) -> None:
        """Remove a flow and its counts."""
        if self._rows.pop(row.key, None) is None:
            return
        self.pop_request(row)
        self.end_idle(row)
        row.server.n_open -= 1
        if not row.is_established:
            row.server.n_half_open -= 1

    def pop_overdue(self, now: Millis) -> list[FlowRow]:
        """Remove and return the half-open flows whose follow-up is overdue."""
        overdue = []
        while self._follow_up_queue and self._follow_up_queue[0][0] <= now:
            _, row = self._follow_up_queue.popleft()
            if not row.is_established and self._rows.get(row.key) is row:
                overdue.append(row)
        return overdue

    def expire(
        self,
        now: Millis,
        *,
        idle_timeout_millis: Millis,
        unanswered_timeout_millis: Millis,
    ) -> int:
        """Remove flows without recent packets; return how many.

        Parameters
        ----------
        now : Millis
            Current time.
        idle_timeout_millis : Millis
            Limit for established flows.
        unanswered_timeout_millis : Millis
            Limit for half-open flows, and for requests to count as pending.
        """
        n_expired = 0
        for _ in range(len(self._expiry_queue)):
            row = self._expiry_queue.popleft()
            if self._rows.get(row.key) is not row:
                continue
            if (
                row.requested_at is not None
                and now - row.requested_at >= unanswered_timeout_millis
            ):
                self.pop_request(row)
            limit = (
                idle_timeout_millis if row.is_established else unanswered_timeout_millis
            )
            if now - row.last_packet_at >= limit:
                self.close(row)
                n_expired += 1
            else:
                self._expiry_queue.append(row)
        return n_expired
