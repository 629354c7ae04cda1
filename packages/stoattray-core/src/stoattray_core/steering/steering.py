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
from stoattray_core.steering.evacuations import Evacuations
from stoattray_core.steering.fast_failure_detector import FastFailureDetector
from stoattray_core.steering.flow_placement import (
    DEFERRED,
    OVERLOADED,
    FlowPlacement,
)
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.histogram import Histogram
from stoattray_core.steering.load_reports import LoadRow
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.peer_reports import PeerReports
from stoattray_core.steering.priority_levels import CutOff
from stoattray_core.steering.protocols import EventSink, RecordDecoder
from stoattray_core.steering.remote_traffic import RemoteTraffic
from stoattray_core.steering.replica import Difference, Replica
from stoattray_core.steering.response_monitor import ResponseMonitor
from stoattray_core.steering.server_selector import ServerSelector
from stoattray_core.steering.servers import ServerRow, ServerTable
from stoattray_core.steering.silence_detector import SilenceDetector
from stoattray_core.steering.store_health import StoreHealth
from stoattray_core.steering.warm_up_budget import WarmUpBounds
from stoattray_core.steering.warm_up_limit import WarmUpLimit

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
    warm_up_bounds : WarmUpBounds or None
        Allowance for cold servers; None if openings for them are not limited.
    random : Random
        Breaks ties.
    on_event : EventSink
        Receives events.
    contention : ContentionSettings or None
        Switches the order of refusal by priority levels on; None if it is off.
    remote_traffic : RemoteTrafficSettings or None
        Limits the traffic between data centres; None for no limit.
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
        warm_up_bounds: WarmUpBounds | None = None,
        remote_traffic: RemoteTrafficSettings | None = None,
    ) -> None:
        self.counters: Counter[str] = Counter()
        evacuations = Evacuations()
        self.warm_up = WarmUpLimit(
            own.name,
            warm_up_bounds,
            configuration=lambda: self.cluster_state.configuration,
            evacuation_ended_at=evacuations.ended_at,
            counters=self.counters,
            on_event=on_event,
        )
        self.members = MemberTable(own, random)
        self.servers = ServerTable(flow_life_millis, own.data_centre, evacuations)
        self.cluster_state = ClusterState(
            self.servers,
            self.members,
            evacuations,
            warm_up=self.warm_up,
            decoder=decoder,
            on_event=on_event,
        )
        self.follow_up_times = Histogram()
        self._random = random
        self._on_event = on_event
        self._own_data_centre = own.data_centre
        self._silence_detector = SilenceDetector(own.data_centre)
        self._flows = FlowTable()
        self._failure_detector = FastFailureDetector()
        self._contention = contention and Contention(
            contention,
            configuration=lambda: self.configuration,
            n_servers=self._n_servers,
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
        self._peer_reports = PeerReports(self.servers, self._failure_detector)
        self._deferred = DeferredOpenings()
        selector = ServerSelector(
            own.data_centre, self._silence_detector, random, self._contention
        )
        self.remote_traffic: RemoteTraffic | None = None
        if remote_traffic is not None:
            self.remote_traffic = RemoteTraffic(
                own.data_centre,
                remote_traffic,
                servers=self.servers,
                members=self.members,
                peer_reports=self._peer_reports,
                silence_detector=self._silence_detector,
                selector=selector,
                random=random,
                on_event=on_event,
            )
            self._response_monitor.on_response = self.remote_traffic.note_response
        self._placement = FlowPlacement(
            self.cluster_state,
            selector,
            self._admission,
            warm_up=self.warm_up,
            service_time=self._service_time,
            counters=self.counters,
            random=random,
            far_rule=self.remote_traffic,
        )
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

    def reported_age(self, now: Millis) -> Millis:
        """Return the age of the confirmation that peers may rely on.

        With a limit for cold servers they rely on it for ownership, too, so a report
        that was queued during a pause here must not make them confirm theirs.
        """
        if self.warm_up.is_active:
            return self.warm_up.confirmation.age(now)
        return self.confirmed_age(now)

    def confirm_replica(self, at: Millis) -> None:
        """Note that the replica was complete at a time."""
        self.cluster_state.confirm_replica(at)

    def confirm_by_watch(
        self, started_at: Millis, now: Millis, wait_millis: Millis
    ) -> None:
        """Note the answer to a watch of the store, of at most `wait_millis`."""
        self.confirm_replica(now)
        self.warm_up.confirmation.confirm_by_watch(started_at, now, wait_millis)

    def confirm_by_snapshot(self, started_at: Millis) -> None:
        """Note a snapshot of the store that was requested at a time."""
        self.confirm_replica(started_at)
        self.warm_up.confirmation.confirm(started_at)

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

    def load_rows(self, now: Millis) -> tuple[LoadRow, ...]:
        """Return the loads for a heartbeat; none unless settings ask for them."""
        return () if self.remote_traffic is None else self.remote_traffic.rows(now)

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

    def apply_heartbeat(
        self, heartbeat: Heartbeat, now: Millis, *, is_response: bool = False
    ) -> bool:
        """Apply a heartbeat; return whether its sender is new or had been silent.

        Parameters
        ----------
        heartbeat : Heartbeat
            The heartbeat.
        now : Millis
            Current time.
        is_response : bool
            Whether it came with requested changes, which may have taken long.
        """
        was_silent = self.members.receive_heartbeat(heartbeat, now)
        self._peer_reports.apply(heartbeat, now)
        if self.remote_traffic is not None:
            self.remote_traffic.merge(heartbeat.load_rows, now)
        if self._contention is not None:
            self._contention.apply_reports(
                heartbeat.member.name, heartbeat.cut_offs, now
            )
        if heartbeat.recovery_age is not None:
            self.store_health.note_peer_recovery(heartbeat.recovery_age, now)
        # Two empty replicas (revision 0) must not confirm each other.
        if heartbeat.revision > 0 and heartbeat.version == self.replica.version:
            at = now - heartbeat.confirmed_age
            self.confirm_replica(at)
            if not is_response:
                self.warm_up.confirmation.confirm_by_report(at, now)
        return was_silent

    def apply_peer_response(
        self,
        heartbeat: Heartbeat,
        difference: Difference,
        now: Millis,
        *,
        requested_at: Millis | None = None,
    ) -> None:
        """Apply the changes that a peer sent because this balancer lacks them.

        Parameters
        ----------
        heartbeat : Heartbeat
            Heartbeat that came with the changes.
        difference : Difference
            The changes.
        now : Millis
            Current time.
        requested_at : Millis or None
            When the changes were requested, so that the response is not older; if it
            is None the response confirms the ownership of no cold server.
        """
        self.apply_heartbeat(heartbeat, now, is_response=True)
        if difference.revision == 0 or difference.version < self.replica.version:
            return
        self.apply_changes(difference, now)
        if self.replica.version == difference.version:
            self.confirm_replica(now - heartbeat.confirmed_age)
            if requested_at is not None:
                at = requested_at - heartbeat.confirmed_age
                self.warm_up.confirmation.confirm(at)

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
        self.warm_up.confirmation.note_running(now)
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
        self.cluster_state.end_kept_evacuations(now)
        for name in self.members.expire(now):
            self._on_event("member_silent", member=name)
        self.servers.expire(now)
        self.warm_up.expire(now)
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
            if self.servers.is_evacuated(flow.server):
                # Its caller needs no answer; one that reuses the port tries again.
                self.counters["openings_of_evacuated_flows"] += 1
                return POSSIBLY_OPEN
            return self._repeat_opening(flow, now)
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
        self.warm_up.note_opening(server, now)
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

    def _repeat_opening(self, flow: FlowRow, now: Millis) -> ServerRow | Refused:
        """Return the server for the repeated opening of an established flow.

        Its caller has seen the answer, so nothing is lost if a cold server, which may
        have started again meanwhile, does not get it.
        """
        current = self.servers.get(flow.server.name) or flow.server
        if not self.warm_up.try_forward(current, now):
            return POSSIBLY_OPEN
        return flow.server

    def _n_servers(self, service: str, now: Millis) -> int:
        """Return the number of a service's servers that may get openings."""
        exclusion = self.warm_up.exclusion(service, now)
        return self.servers.n_of_service(service, exclusion)

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
            opened_in=self._own_data_centre,
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
            if self.remote_traffic is not None:
                self.remote_traffic.note_follow_up(flow.server, waited_millis)
        was_silent = flow.server.n_silent > 0
        self.warm_up.cold_servers.note_answer(flow.server, now, was_silent=was_silent)
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
        cut_off_until = self._silence_detector.cut_off_until(silent.entry.data_centre)
        self.warm_up.cold_servers.note_silence(silent, cut_off_until, now)
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
        self.warm_up.note_opening(server, now)
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
