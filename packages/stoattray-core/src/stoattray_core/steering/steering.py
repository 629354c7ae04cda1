"""Decisions of a balancer with cookie placement, for one packet or tick at a time.

Invariants:

1. A flow has one backend server. Its packets carry that server's cookie, so
   every balancer sends them there.
2. The intended server is named in front of each packet.
3. The configuration's version never falls within one process.
4. Only an opening packet whose flow cannot be open anywhere is reset, and only
   once a configuration is known.
"""

from collections import Counter
from collections.abc import Iterator
from random import Random

from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.admission import is_overloaded
from stoattray_core.steering.answers import Answers
from stoattray_core.steering.beliefs import Beliefs
from stoattray_core.steering.entries import Configuration, MemberEntry
from stoattray_core.steering.failures import Failures
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.histogram import Histogram
from stoattray_core.steering.interfaces import Decoder, EventSink
from stoattray_core.steering.member_terms import Heartbeat
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.peer_reports import PeerReports
from stoattray_core.steering.replica import Difference, Replica
from stoattray_core.steering.selection import Selection, pick_service
from stoattray_core.steering.servers import ServerRow, ServerTable
from stoattray_core.steering.store_health import StoreHealth
from stoattray_core.steering.suspicion import Suspicion

FROZEN_MILLIS = 200
"""A longer pause between two ticks says nothing about servers; ticks come each 5 ms."""

MAX_TRIED = 3
"""Servers that one opening packet is sent to; with a quarter of them dead, fewer than
one in fifty flows meets three, and callers send copies themselves."""

BACKLOG_MILLIS = 50
"""Packets taken so soon after a start or a pause waited in the socket; callers may
have given up on them, so silence after them says nothing about servers."""

OUTDATED_MILLIS = 2_400
"""After a longer pause no opening that waited is wanted any more: routers turn away
after 1 s, and callers give up an unanswered opening after 1.4 s."""

UNANSWERED_MILLIS = 1_500
"""Callers give up an unanswered opening after 1.4 s."""

FRESH_MILLIS = 2_000
"""A copy confirmed within this time decides that a destination has no route."""

NO_ROUTE = Refused(ErrorKind.NO_ROUTE)
NO_BACKEND_SERVER = Refused(ErrorKind.NO_BACKEND_SERVER)
OVERLOADED = Refused(ErrorKind.OVERLOADED)
NOT_READY = Refused(ErrorKind.NOT_READY)
UNKNOWN_COOKIE = Refused(ErrorKind.UNKNOWN_COOKIE)
STALE_ROUTES = Refused(ErrorKind.UNKNOWN_ADDRESS)
OPEN_ELSEWHERE = Refused(ErrorKind.NO_OWNER)
OUTDATED = Refused(ErrorKind.HELD_TOO_LONG)


class Steering:
    """Tables of one balancer and the systems that run over them.

    Parameters
    ----------
    own : MemberEntry
        This balancer.
    decoder : Decoder
        Reads records.
    flow_life : Millis
        How long a flow may last; cookies are read for so long.
    random : Random
        Decides between equals.
    on_event : EventSink
        Takes events.
    """

    def __init__(
        self,
        own: MemberEntry,
        *,
        decoder: Decoder,
        flow_life: Millis,
        random: Random,
        on_event: EventSink,
    ) -> None:
        self.members = MemberTable(own, random)
        self.servers = ServerTable(flow_life, own.data_centre)
        self.beliefs = Beliefs(
            self.servers, self.members, decoder=decoder, on_event=on_event
        )
        self.counters: Counter[str] = Counter()
        self.follow_ups = Histogram()
        self._random = random
        self._on_event = on_event
        self._suspicion = Suspicion(own.data_centre)
        self._selection = Selection(own.data_centre, self._suspicion, random)
        self._flows = FlowTable()
        self._failures = Failures()
        self._answers = Answers(self.servers, self._flows, self._failures, on_event)
        self._reports = PeerReports(self.servers, self._failures)
        self._ticked_at: Millis | None = None
        self._judge_from: Millis = 0
        self._outdated_until: Millis = 0

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self.beliefs.configuration

    @property
    def replica(self) -> Replica:
        """Return the copy of the store."""
        return self.beliefs.replica

    @property
    def store_health(self) -> StoreHealth:
        """Return what is believed of the store."""
        return self.beliefs.store_health

    @property
    def n_flows(self) -> int:
        """Return how many flows that were opened here are open."""
        return len(self._flows)

    @property
    def n_waiting(self) -> int:
        """Return how many opening packets wait for a follow-up."""
        return self._flows.n_waiting

    @property
    def patience(self) -> Millis:
        """Return how long an opening packet may stay without follow-up."""
        return self._suspicion.patience

    @property
    def is_ready(self) -> bool:
        """Return whether packets can be forwarded."""
        return self.configuration is not None and len(self.servers) > 0

    def is_suspect(self, server: ServerRow, now: Millis) -> bool:
        """Return whether a backend server waits its turn for silence."""
        return self._suspicion.is_suspect(server, now)

    def confirmed_age(self, now: Millis) -> Millis:
        """Return how long ago the copy of the store was known to be complete."""
        return self.beliefs.confirmed_age(now)

    def confirm(self, at: Millis) -> None:
        """Note that the copy was complete at a time."""
        self.beliefs.confirm(at)

    def failing(self, now: Millis) -> tuple[int, ...]:
        """Return cookies of servers that this balancer itself found to fail."""
        return self._failures.cookies(now)

    def unanswered_requests(self) -> dict[int, int]:
        """Return the unanswered requests seen here by cookie of the server."""
        return {row.cookie: row.n_asked for row in self.servers if row.n_asked > 0}

    def start_forwarding(self, now: Millis) -> None:
        """Note that packets that waited for this start come first."""
        self._judge_from = now + BACKLOG_MILLIS

    def take(self, difference: Difference, now: Millis) -> None:
        """Take changes from the store or a peer."""
        self.beliefs.take(difference, now)

    def take_heartbeat(self, heartbeat: Heartbeat, now: Millis) -> bool:
        """Take what a peer tells; return whether it was not heard before."""
        is_news = self.members.hear(heartbeat, now)
        self._reports.take(heartbeat, now)
        if heartbeat.return_age is not None:
            self.store_health.note_peer_return(heartbeat.return_age, now)
        # A copy that has nothing yet is never confirmed, not even by another such one.
        if 0 < heartbeat.revision == self.replica.revision:
            self.confirm(now - heartbeat.confirmed_age)
        return is_news

    def take_from_peer(
        self, heartbeat: Heartbeat, difference: Difference, now: Millis
    ) -> None:
        """Take what a peer knows and this balancer does not."""
        self.take_heartbeat(heartbeat, now)
        is_copy = difference.revision > 0
        if is_copy and difference.revision >= self.replica.revision:
            self.take(difference, now)
            self.confirm(now - heartbeat.confirmed_age)

    def route_packet(self, packet: Packet, now: Millis) -> ServerRow | Refused:
        """Return the backend server of a packet, or why it has none."""
        flow = self._flows.get(packet.key)
        if packet.is_opening:
            return self._route_opening(packet, flow, now)
        if flow is None:
            return self.servers.by_cookie(packet.cookie) or UNKNOWN_COOKIE
        flow.last_at = now
        if not flow.has_followed:
            self._pin(flow, packet, now)
        self._answers.note_packet(flow, packet, now)
        if packet.is_ending:
            self._flows.close(flow)
        return flow.server

    def check_pause(self, now: Millis) -> None:
        """Notice that this process stood still, before anything is decided.

        Parameters
        ----------
        now : Millis
            Current time, of a clock that counts while the VM is suspended.
        """
        ticked_at, self._ticked_at = self._ticked_at, now
        if ticked_at is None or now - ticked_at <= FROZEN_MILLIS:
            return
        pause = now - ticked_at
        self._judge_from = now + BACKLOG_MILLIS
        if pause >= OUTDATED_MILLIS:
            self._outdated_until = now + BACKLOG_MILLIS
        self._on_event("woke", pause_ms=pause)

    def tick(self, now: Millis) -> Iterator[tuple[ServerRow, bytes]]:
        """Run what is due; yield opening packets to be sent to a further server."""
        self.check_pause(now)
        for flow in self._flows.take_overdue(now):
            if now < self._judge_from:
                flow.judge_at = self._judge_from
                self._flows.wait(flow)
                continue
            again = self._judge_silent(flow, now)
            if again is not None:
                yield again

    def clean_up(self, now: Millis) -> None:
        """Forget what is over; run about once a second."""
        self.beliefs.end_lapses(now)
        for name in self.members.forget(now):
            self._on_event("member_silent", member=name)
        self.servers.expire(now)
        self._answers.forget(now)
        self._reports.keep_only(row.entry.name for row in self.members.live(now))
        idle = self.configuration.idle_limit if self.configuration else 0
        self._flows.expire(now, idle=idle, unanswered=UNANSWERED_MILLIS)

    def _route_opening(
        self, packet: Packet, flow: FlowRow | None, now: Millis
    ) -> ServerRow | Refused:
        if flow is not None and flow.has_followed:
            return flow.server
        if not self.is_ready:
            return NOT_READY
        if now < self._outdated_until:
            return OUTDATED
        avoid = flow.tried if flow is not None else []
        server = self._choose(packet.destination, now, avoid)
        if isinstance(server, Refused):
            return OPEN_ELSEWHERE if flow is not None or packet.n_copy else server
        if flow is None:
            self._open(packet, server, now)
        else:
            self._flows.retry(flow, server, now)
            flow.last_at = now
        return server

    def _choose(
        self, destination: bytes, now: Millis, avoid: list[ServerRow]
    ) -> ServerRow | Refused:
        assert self.configuration is not None
        route = self.configuration.routes.get(destination)
        if route is None:
            is_fresh = self.confirmed_age(now) <= FRESH_MILLIS
            return NO_ROUTE if is_fresh else STALE_ROUTES
        service = pick_service(route, self._random)
        rows = self.servers.candidates(service, self._random)
        server = self._selection.choose(rows, now, avoid=avoid)
        if server is None:
            return NO_BACKEND_SERVER
        if is_overloaded(server, route, self._usual_work(service), now):
            self.counters["openings_overloaded"] += 1
            return OVERLOADED
        return server

    def _usual_work(self, service: str) -> float | None:
        """Return the usual time of a service's requests at a server, if known."""
        usual = self._answers.usual(service)
        return None if usual is None else usual - self._suspicion.usual_answer

    def _open(self, packet: Packet, server: ServerRow, now: Millis) -> None:
        self.counters["flows_opened"] += 1
        flow = FlowRow(
            packet.key,
            server,
            destination=packet.destination,
            opening=packet.data,
            now=now,
            judge_at=now + self.patience,
        )
        self._flows.open(flow, is_judged=now >= self._judge_from)
        self._tell_opened(packet, server, now)

    def _tell_opened(self, packet: Packet, server: ServerRow, now: Millis) -> None:
        """Write where a flow was opened and why, within the budget of routine."""
        if not self._on_event.wants("flow_opened"):
            self._on_event.left_out("flow_opened")
            return
        assert self.configuration is not None
        self._on_event(
            "flow_opened",
            flow=flow_name(packet.key),
            server=server.name,
            service=server.entry.service,
            data_centre=server.entry.data_centre,
            n_open=server.n_open,
            peer_load=round(server.peer_load, 2),
            is_suspect=self.is_suspect(server, now),
            presence=server.presence.value,
            heard_age_ms=now - server.heard_at,
            version=self.configuration.version,
            revision=self.replica.revision,
            confirmed_age_ms=self.confirmed_age(now),
        )

    def _pin(self, flow: FlowRow, packet: Packet, now: Millis) -> None:
        """Fix the server of a flow by the first packet that follows its opening.

        With several servers asked, that packet's cookie names the one whose answer
        it acknowledges; later answers may change the cookie, but not the flow.
        """
        named = self.servers.by_cookie(packet.cookie)
        if named is not None and named is not flow.server:
            self._flows.move(flow, named)
        waited = now - flow.sent_at if len(flow.tried) == 1 else None
        if waited is not None:
            self.follow_ups.observe(waited)
        if self._suspicion.note_answer(flow.server, waited, now):
            self._on_event("backend_server_answers", server=flow.server.name)
        self._flows.follow(flow)

    def _judge_silent(
        self, flow: FlowRow, now: Millis
    ) -> tuple[ServerRow, bytes] | None:
        silent = flow.server
        self.counters["openings_silent"] += 1
        # A caller that left is silent towards every server: only the first is blamed.
        is_first = len(flow.tried) == 1
        if is_first and self._suspicion.note_silence(silent, flow.sent_at, now):
            self._on_event(
                "backend_server_silent",
                server=silent.name,
                waited_ms=now - flow.sent_at,
                n_silent=silent.n_silent,
                heard_age_ms=now - silent.heard_at,
            )
        if len(flow.tried) >= MAX_TRIED or flow.opening is None:
            return None
        server = self._choose(flow.destination, now, flow.tried)
        if isinstance(server, Refused) or server in flow.tried:
            return None
        self.counters["openings_tried_again"] += 1
        self._on_event(
            "opening_tried_again",
            flow=flow_name(flow.key),
            silent=silent.name,
            server=server.name,
            n_tried=len(flow.tried),
            waited_ms=now - flow.sent_at,
        )
        self._flows.retry(flow, server, now)
        flow.judge_at = now + self.patience
        self._flows.wait(flow)
        return server, flow.opening
