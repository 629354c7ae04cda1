"""Routing of callers' packets to backend servers, with cookie placement.

Invariants:

1. A flow has one backend server. Its packets carry that server's cookie, so
   every balancer forwards them there.
2. Each packet is forwarded behind a header that names the intended server.
3. The configuration's version never decreases within one process.
4. Only an opening packet whose flow cannot be open anywhere is reset, and only
   once a configuration is known.
"""

from collections import Counter
from collections.abc import Iterator
from random import Random

from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.admission import AdmissionControl, Overload
from stoattray_core.steering.cluster_state import ClusterState
from stoattray_core.steering.contention import Contention, ContentionSettings
from stoattray_core.steering.cut_offs import CutOffReport
from stoattray_core.steering.deferral import DeferredOpenings
from stoattray_core.steering.entries import Configuration, MemberEntry
from stoattray_core.steering.fast_failure_detector import FastFailureDetector
from stoattray_core.steering.flow_placement import FlowPlacement
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.histogram import Histogram
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.peer_reports import PeerReports
from stoattray_core.steering.priority_levels import CutOff
from stoattray_core.steering.protocols import EventSink, RecordDecoder
from stoattray_core.steering.replica import Difference, Replica
from stoattray_core.steering.response_monitor import ResponseMonitor
from stoattray_core.steering.server_selector import ServerSelector
from stoattray_core.steering.servers import ServerRow, ServerTable
from stoattray_core.steering.silence_detector import SilenceDetector
from stoattray_core.steering.store_health import StoreHealth

MAX_TICK_GAP_MILLIS = 200
"""A longer gap between two ticks means that this process was paused, so openings
without follow-up are no sign of a failed server. Ticks run every 5 ms."""

MAX_SERVERS_TRIED = 3
"""Servers that one opening packet is sent to. With a quarter of the servers dead, fewer
than one flow in fifty picks three dead ones, and callers retransmit too."""

BACKLOG_MILLIS = 50
"""Packets read within this time after a start or a pause were queued in the socket.
Their callers may have given up, so a missing follow-up is no sign of a failed
server."""

OUTDATED_PAUSE_MILLIS = 2_400
"""After a longer pause, queued openings are dropped: routers stop sending to this
balancer after 1 s, and callers give up an unanswered opening after 1.4 s."""

UNANSWERED_MILLIS = 1_500
"""Half-open flows and pending requests expire after this time; callers give up an
unanswered opening after 1.4 s."""

PENDING_TARGETS = 1
"""Target latencies for which a request counts as pending. Admission control keeps
responses faster, so an older one was most likely answered unseen."""

CALLER_ADDRESS_BYTES = 4
"""A flow's key begins with the caller's IPv4 address."""

OVERLOADED = Refused(ErrorKind.OVERLOADED)
DEFERRED = Refused(ErrorKind.DEFERRED)
NOT_READY = Refused(ErrorKind.NOT_READY)
UNKNOWN_COOKIE = Refused(ErrorKind.UNKNOWN_COOKIE)
POSSIBLY_OPEN = Refused(ErrorKind.NO_OWNER)
HELD_TOO_LONG = Refused(ErrorKind.HELD_TOO_LONG)


class Steering:
    """Routes packets, retries unanswered openings and applies updates of cluster state.

    Parameters
    ----------
    own : MemberEntry
        This balancer.
    decoder : RecordDecoder
        Decodes records.
    flow_life_millis : Millis
        Longest duration of a flow; cookies of removed servers stay valid as long.
    random : Random
        Breaks ties.
    on_event : EventSink
        Receives events.
    contention : ContentionSettings or None
        Switches the order of refusal by priority levels on; None if it is off.
    """

    def __init__(
        self,
        own: MemberEntry,
        *,
        decoder: RecordDecoder,
        flow_life_millis: Millis,
        random: Random,
        on_event: EventSink,
        contention: ContentionSettings | None = None,
    ) -> None:
        self.members = MemberTable(own, random)
        self.servers = ServerTable(flow_life_millis, own.data_centre)
        self.cluster_state = ClusterState(
            self.servers, self.members, decoder=decoder, on_event=on_event
        )
        self.counters: Counter[str] = Counter()
        self.follow_up_times = Histogram()
        self._random = random
        self._on_event = on_event
        self._silence_detector = SilenceDetector(own.data_centre)
        self._flows = FlowTable()
        self._failure_detector = FastFailureDetector()
        self._contention = contention and Contention(
            contention,
            configuration=lambda: self.configuration,
            n_servers=self.servers.n_of_service,
            counters=self.counters,
            random=random,
        )
        self._admission = AdmissionControl(random, self._contention)
        self._response_monitor = ResponseMonitor(
            self.servers,
            self._flows,
            self._failure_detector,
            self._admission,
            on_event,
            self._contention and self._contention.expected_requests,
        )
        self._placement = FlowPlacement(
            self.cluster_state,
            ServerSelector(
                own.data_centre, self._silence_detector, random, self._contention
            ),
            self._admission,
            service_time=self._service_time,
            counters=self.counters,
            random=random,
        )
        self._peer_reports = PeerReports(self.servers, self._failure_detector)
        self._deferred = DeferredOpenings()
        self._last_tick_at: Millis | None = None
        self._detect_silence_from: Millis = 0
        self._drop_openings_until: Millis = 0

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self.cluster_state.configuration

    @property
    def replica(self) -> Replica:
        """Return this balancer's replica of the store."""
        return self.cluster_state.replica

    @property
    def store_health(self) -> StoreHealth:
        """Return the health of the store as seen here and by peers."""
        return self.cluster_state.store_health

    @property
    def n_flows(self) -> int:
        """Return the number of open flows that were opened here."""
        return len(self._flows)

    @property
    def n_awaiting_follow_up(self) -> int:
        """Return the length of the follow-up queue, established flows included."""
        return self._flows.n_awaiting_follow_up

    @property
    def follow_up_timeout_millis(self) -> Millis:
        """Return how long to wait for a follow-up before an opening is retried."""
        return self._silence_detector.follow_up_timeout_millis

    @property
    def is_ready(self) -> bool:
        """Return whether packets can be forwarded."""
        return self.configuration is not None and len(self.servers) > 0

    def is_suspect(self, server: ServerRow, now: Millis) -> bool:
        """Return whether a server, or its whole data centre, is deprioritised."""
        return self._silence_detector.is_suspect(server, now)

    def confirmed_age(self, now: Millis) -> Millis:
        """Return how long ago the replica was confirmed complete; `now` if never."""
        return self.cluster_state.confirmed_age(now)

    def confirm_replica(self, at: Millis) -> None:
        """Note that the replica was complete at a time."""
        self.cluster_state.confirm_replica(at)

    def failing_cookies(self, now: Millis) -> tuple[int, ...]:
        """Return cookies of servers that this balancer itself found to be failing."""
        return self._failure_detector.failing_cookies(now)

    def pending_requests(self) -> dict[int, int]:
        """Return the number of pending requests seen here, by server cookie."""
        return {
            row.cookie: row.n_pending_requests
            for row in self.servers
            if row.n_pending_requests > 0
        }

    def cut_off_reports(self, now: Millis) -> tuple[CutOffReport, ...]:
        """Return the cut-offs between priority levels to report to other balancers."""
        return self._contention.reports(now) if self._contention is not None else ()

    def cut_offs(self) -> dict[str, CutOff]:
        """Return the cut-offs in force that are not open, by service."""
        return self._contention.cut_offs() if self._contention is not None else {}

    def exclude_backlog(self, now: Millis) -> None:
        """Exclude packets queued before the start from silence detection."""
        self._detect_silence_from = now + BACKLOG_MILLIS
        self._admission.start(now)

    def apply_changes(self, difference: Difference, now: Millis) -> None:
        """Apply changes from the store or a peer."""
        self.cluster_state.apply(difference, now)

    def apply_heartbeat(self, heartbeat: Heartbeat, now: Millis) -> bool:
        """Apply a heartbeat; return whether its sender is new or had been silent."""
        was_silent = self.members.receive_heartbeat(heartbeat, now)
        self._peer_reports.apply(heartbeat, now)
        if self._contention is not None:
            self._contention.apply_reports(
                heartbeat.member.name, heartbeat.cut_offs, now
            )
        if heartbeat.recovery_age is not None:
            self.store_health.note_peer_recovery(heartbeat.recovery_age, now)
        # Two empty replicas (revision 0) must not confirm each other.
        if heartbeat.revision > 0 and heartbeat.version == self.replica.version:
            self.confirm_replica(now - heartbeat.confirmed_age)
        return was_silent

    def apply_peer_response(
        self, heartbeat: Heartbeat, difference: Difference, now: Millis
    ) -> None:
        """Apply the changes that a peer sent because this balancer lacks them."""
        self.apply_heartbeat(heartbeat, now)
        if difference.revision == 0 or difference.version < self.replica.version:
            return
        self.apply_changes(difference, now)
        if self.replica.version == difference.version:
            self.confirm_replica(now - heartbeat.confirmed_age)

    def route_packet(self, packet: Packet, now: Millis) -> ServerRow | Refused:
        """Return the backend server for a packet, or why it is refused."""
        flow = self._flows.get(packet.key)
        if packet.is_opening:
            return self._route_opening(packet, flow, now)
        if flow is None:
            return self.servers.by_cookie(packet.cookie) or UNKNOWN_COOKIE
        flow.last_packet_at = now
        if not flow.is_established:
            self._establish(flow, packet, now)
        self._response_monitor.note_packet(flow, packet, now)
        if packet.is_ending:
            self._flows.close(flow)
        return flow.server

    def detect_pause(self, now: Millis) -> None:
        """Detect a pause of this process; called before any packet is routed.

        Parameters
        ----------
        now : Millis
            Current time, from a clock that also runs while the VM is suspended.
        """
        last_tick_at, self._last_tick_at = self._last_tick_at, now
        if last_tick_at is None or now - last_tick_at <= MAX_TICK_GAP_MILLIS:
            return
        pause = now - last_tick_at
        self._detect_silence_from = now + BACKLOG_MILLIS
        if pause >= OUTDATED_PAUSE_MILLIS:
            self._drop_openings_until = now + BACKLOG_MILLIS
        self._on_event("woke", pause_ms=pause)

    def tick(self, now: Millis) -> Iterator[tuple[ServerRow, bytes]]:
        """Check overdue openings; yield those to retry, with the next server."""
        self.detect_pause(now)
        self._flows.expire_requests(now)
        for flow in self._flows.pop_overdue(now):
            if now < self._detect_silence_from:
                flow.follow_up_due_at = self._detect_silence_from
                self._flows.await_follow_up(flow)
                continue
            resend = self._handle_silence(flow, now)
            if resend is not None:
                yield resend

    def remove_expired(self, now: Millis) -> None:
        """Remove expired entries from all tables; runs about once a second."""
        self.cluster_state.remove_lapsed(now)
        for name in self.members.expire(now):
            self._on_event("member_silent", member=name)
        self.servers.expire(now)
        self._response_monitor.expire_verdicts(now)
        if self._contention is not None:
            n_live = len(self.members.live(now))
            self._contention.expire(now, n_balancers=1 + n_live)
            self._deferred.expire(now)
        self._peer_reports.retain(row.entry.name for row in self.members.live(now))
        idle = self.configuration.idle_timeout_millis if self.configuration else 0
        self._flows.expire(
            now, idle_timeout_millis=idle, unanswered_timeout_millis=UNANSWERED_MILLIS
        )

    def _route_opening(
        self, packet: Packet, flow: FlowRow | None, now: Millis
    ) -> ServerRow | Refused:
        if flow is not None and flow.is_established:
            return flow.server
        if not self.is_ready:
            return NOT_READY
        if now < self._drop_openings_until:
            return HELD_TOO_LONG
        avoid = flow.tried_servers if flow is not None else []
        server = self._placement.select(
            packet.destination,
            now,
            avoid,
            n_retransmissions=packet.n_retransmissions,
            caller=packet.key[:CALLER_ADDRESS_BYTES],
        )
        if isinstance(server, Overload):
            self._log_overload(packet, server, now)
            server = DEFERRED if server.is_deferred else OVERLOADED
        if isinstance(server, Refused):
            return self._refuse_opening(packet, flow, server, now)
        self._deferred.forget(packet.key)
        if flow is None:
            self._open(packet, server, now)
        else:
            self._flows.retry(flow, server, now)
            flow.last_packet_at = now
        return server

    def _refuse_opening(
        self, packet: Packet, flow: FlowRow | None, reason: Refused, now: Millis
    ) -> Refused:
        """Return `reason`, or `POSSIBLY_OPEN` if the flow may be open somewhere."""
        n_retransmissions = packet.n_retransmissions
        if flow is not None or not self._deferred.has_all_before(
            packet.key, n_retransmissions, now
        ):
            return POSSIBLY_OPEN
        if reason is not DEFERRED:
            self._deferred.forget(packet.key)
        elif self._contention is not None:
            self._deferred.note_deferred(packet.key, n_retransmissions, now)
        return reason

    def _service_time(self, service: str) -> float | None:
        """Return a service's time in ms without the round trip, or None if unknown."""
        millis = self._response_monitor.service_time(service)
        if millis is None:
            return None
        return max(1.0, millis - self._silence_detector.baseline_follow_up_time)

    def _open(self, packet: Packet, server: ServerRow, now: Millis) -> None:
        self.counters["flows_opened"] += 1
        flow = FlowRow(
            packet.key,
            server,
            destination=packet.destination,
            opening=packet.data,
            now=now,
            follow_up_due_at=now + self.follow_up_timeout_millis,
            request_timeout_millis=self._request_timeout_millis(packet.destination),
        )
        self._flows.open(flow, awaits_follow_up=now >= self._detect_silence_from)
        self._log_opened(packet, server, now)

    def _request_timeout_millis(self, destination: bytes) -> Millis:
        """Return how long a request to a destination counts as pending."""
        assert self.configuration is not None
        target = self.configuration.routes[destination].target_latency_millis
        if target is None:
            return UNANSWERED_MILLIS
        return min(UNANSWERED_MILLIS, PENDING_TARGETS * target)

    def _log_opened(self, packet: Packet, server: ServerRow, now: Millis) -> None:
        """Log where a flow was opened and why, unless over the rate limit."""
        if not self._on_event.is_enabled("flow_opened"):
            self._on_event.note_suppressed("flow_opened")
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
            heard_age_ms=now - server.record_received_at,
            version=self.configuration.version,
            era=self.replica.version.era,
            revision=self.replica.revision,
            confirmed_age_ms=self.confirmed_age(now),
        )

    def _log_overload(self, packet: Packet, overload: Overload, now: Millis) -> None:
        """Log why an opening is refused, unless over the rate limit."""
        if not self._on_event.is_enabled("opening_refused"):
            self._on_event.note_suppressed("opening_refused")
            return
        server = overload.server
        reported_at = server.peer_reported_at
        expected = overload.expected_millis
        self._on_event(
            "opening_refused",
            flow=flow_name(packet.key),
            server=server.name,
            service=server.entry.service,
            n_pending=server.n_pending_requests,
            peer_load=round(server.peer_load, 2),
            peer_load_age_ms=None if reported_at is None else now - reported_at,
            expected_ms=None if expected is None else round(expected),
            max_ms=round(overload.max_millis),
            response_ms=round(overload.response_millis),
            probability=round(overload.probability, 2),
            is_deferred=overload.is_deferred,
            **(overload.refusal.event_fields() if overload.refusal else {}),
        )

    def _establish(self, flow: FlowRow, packet: Packet, now: Millis) -> None:
        """Fix the server of a flow by the first packet that follows its opening.

        If the opening went to several servers, that packet's cookie names the one whose
        answer it acknowledges. Later answers may change the cookie, but not the server.
        """
        named = self.servers.by_cookie(packet.cookie)
        if named is not None and named is not flow.server:
            self._flows.move(flow, named)
        waited_millis = now - flow.sent_at if len(flow.tried_servers) == 1 else None
        if waited_millis is not None:
            self.follow_up_times.observe(waited_millis)
        if self._silence_detector.note_follow_up(flow.server, waited_millis, now):
            self._on_event("backend_server_answers", server=flow.server.name)
        self._flows.establish(flow)

    def _handle_silence(
        self, flow: FlowRow, now: Millis
    ) -> tuple[ServerRow, bytes] | None:
        """Note an overdue opening; return the next server and the packet, or None."""
        silent = flow.server
        self.counters["openings_silent"] += 1
        # A caller that left sends no follow-up, so only the first server is suspected.
        is_first = len(flow.tried_servers) == 1
        if is_first and self._silence_detector.note_silence(silent, flow.sent_at, now):
            self._on_event(
                "backend_server_silent",
                server=silent.name,
                waited_ms=now - flow.sent_at,
                n_silent=silent.n_silent,
                heard_age_ms=now - silent.record_received_at,
            )
        if len(flow.tried_servers) >= MAX_SERVERS_TRIED or flow.opening is None:
            return None
        server = self._placement.select(
            flow.destination,
            now,
            flow.tried_servers,
            caller=flow.key[:CALLER_ADDRESS_BYTES],
        )
        if not isinstance(server, ServerRow) or server in flow.tried_servers:
            return None
        self.counters["openings_tried_again"] += 1
        self._on_event(
            "opening_tried_again",
            flow=flow_name(flow.key),
            silent=silent.name,
            server=server.name,
            n_tried=len(flow.tried_servers),
            waited_ms=now - flow.sent_at,
        )
        self._flows.retry(flow, server, now)
        flow.follow_up_due_at = now + self.follow_up_timeout_millis
        self._flows.await_follow_up(flow)
        return server, flow.opening
