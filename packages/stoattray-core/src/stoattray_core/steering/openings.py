"""Openings of flows: first, repeated by the caller, and retried without follow-up.

Invariant: only an opening whose flow cannot be open anywhere is refused with a reason
that resets it.
"""

from collections import Counter
from collections.abc import Callable

from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.admission import Overload
from stoattray_core.steering.cluster_state import ClusterState
from stoattray_core.steering.deferral import RETRANSMIT_MILLIS, DeferredOpenings
from stoattray_core.steering.flow_placement import (
    ALL_SILENT,
    DEFERRED,
    OVERLOADED,
    FlowPlacement,
)
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.histogram import Histogram
from stoattray_core.steering.opening_log import OpeningLog
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.pinning import Pinning
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.remote_traffic import RemoteTraffic
from stoattray_core.steering.servers import ServerRow, ServerTable
from stoattray_core.steering.silence_detector import SilenceDetector
from stoattray_core.steering.warm_up_limit import WarmUpLimit

MAX_SERVERS_TRIED = 3
"""Servers that one opening packet is sent to. With a quarter of the servers dead, fewer
than one flow in fifty picks three dead ones, and callers retransmit too."""

UNANSWERED_MILLIS = 1_500
"""Half-open flows and pending requests expire after this time; callers give up an
unanswered opening after 1.4 s."""

PENDING_TARGETS = 1
"""Target latencies for which a request counts as pending. Admission control keeps
responses faster, so an older one was most likely answered unseen."""

BACKLOG_MILLIS = 50
"""Packets read within this time after a start or a pause were queued in the socket.
Their callers may have given up, so a missing follow-up is no sign of a failed
server."""

ROUTER_TIMEOUT_MILLIS = 500
"""Shortest pause after which routers may have sent packets to other balancers: two
readiness checks, half a second apart, were missed."""

OUTDATED_PAUSE_MILLIS = 2_400
"""After a longer pause, all queued openings are dropped: routers stop sending to this
balancer after 1 s, and callers give up an unanswered opening after 1.4 s."""

CALLER_ADDRESS_BYTES = 4
"""A flow's key begins with the caller's IPv4 address."""

NOT_READY = Refused(ErrorKind.NOT_READY)
POSSIBLY_OPEN = Refused(ErrorKind.NO_OWNER)
HELD_TOO_LONG = Refused(ErrorKind.HELD_TOO_LONG)


class Openings:
    """Selects the servers of openings, and retries those without a follow-up.

    Parameters
    ----------
    cluster_state : ClusterState
        Configuration in force.
    servers : ServerTable
        All servers.
    flows : FlowTable
        Open flows.
    placement : FlowPlacement
        Selects the server of a new flow.
    silence_detector : SilenceDetector
        Learns which openings had a follow-up.
    warm_up : WarmUpLimit
        Limits the openings for cold servers.
    remote_traffic : RemoteTraffic or None
        Measures the round trips to data centres; None if traffic is not limited.
    pinning : Pinning
        Pins flows whose opening may be at several servers.
    is_ready : callable
        Returns whether packets can be forwarded.
    log : OpeningLog
        Logs decisions.
    counters : Counter
        Counts opened and retried flows.
    on_event : EventSink
        Receives events.

    Attributes
    ----------
    follow_up_times : Histogram
        Times to the follow-up of openings.
    backlog_until : Millis
        Until then, packets are read that were queued during a start or a pause, and
        openings without follow-up say nothing about servers.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        servers: ServerTable,
        flows: FlowTable,
        placement: FlowPlacement,
        *,
        silence_detector: SilenceDetector,
        warm_up: WarmUpLimit,
        remote_traffic: RemoteTraffic | None,
        pinning: Pinning,
        is_ready: Callable[[], bool],
        log: OpeningLog,
        counters: Counter[str],
        on_event: EventSink,
    ) -> None:
        self.follow_up_times = Histogram()
        self.backlog_until: Millis = 0
        self._pause_millis: Millis = 0
        self._cluster_state = cluster_state
        self._servers = servers
        self._flows = flows
        self._placement = placement
        self._silence_detector = silence_detector
        self._warm_up = warm_up
        self._remote_traffic = remote_traffic
        self._pinning = pinning
        self._is_ready = is_ready
        self._log = log
        self._counters = counters
        self._on_event = on_event
        self._deferred = DeferredOpenings()

    def begin_backlog(self, now: Millis, *, pause_millis: Millis = 0) -> None:
        """Note that packets were queued during a start or a pause of this process."""
        self.backlog_until = now + BACKLOG_MILLIS
        self._pause_millis = pause_millis

    def extend_backlog(self, now: Millis) -> None:
        """Note that more packets are queued, which may be part of the backlog."""
        if now < self.backlog_until:
            self.backlog_until = now + BACKLOG_MILLIS

    def route(
        self, packet: Packet, flow: FlowRow | None, now: Millis
    ) -> ServerRow | Refused:
        """Return the server for an opening packet, or why it is refused."""
        if flow is not None and packet.sequence != flow.opening_sequence:
            # The caller uses the port again; the earlier flow ended unseen.
            self._flows.close(flow)
            flow = None
        if flow is not None and flow.is_established:
            if self._servers.is_evacuated(flow.server):
                # Its caller needs no answer; one that reuses the port tries again.
                self._counters["openings_of_evacuated_flows"] += 1
                return POSSIBLY_OPEN
            return self._repeat(flow, now)
        if not self._is_ready():
            return NOT_READY
        if self._is_outdated(packet, now):
            return HELD_TOO_LONG
        if self._pinning.is_open(packet):
            return POSSIBLY_OPEN
        avoid = flow.tried_servers if flow is not None else []
        server = self._placement.select(
            packet.destination,
            now,
            avoid,
            n_retransmissions=packet.n_retransmissions,
            caller=packet.key[:CALLER_ADDRESS_BYTES],
        )
        if isinstance(server, Overload):
            self._log.note_refused(packet, server, now)
            has_levels = server.refusal is not None
            reason = DEFERRED if server.is_deferred else OVERLOADED
            return self._refuse(packet, flow, reason, now, is_remembered=has_levels)
        if isinstance(server, Refused):
            is_remembered = server is ALL_SILENT
            return self._refuse(packet, flow, server, now, is_remembered=is_remembered)
        has_others = flow is None and not self._deferred.has_all_before(
            packet.key, packet.n_retransmissions, now
        )
        self._deferred.forget(packet.key)
        self._warm_up.note_opening(server, now)
        if flow is None:
            self._open(packet, server, now, has_other_openings=has_others)
        else:
            self._flows.retry(flow, server, now)
            flow.last_packet_at = now
        return server

    def establish(self, flow: FlowRow, packet: Packet, now: Millis) -> None:
        """Fix the server of a flow by the first packet that follows its opening.

        If the opening went to several servers, that packet's cookie names the one whose
        answer it acknowledges. Later answers may change the cookie, but not the server;
        the flow is pinned, so that other balancers know it, too.
        """
        named = self._servers.by_cookie(packet.cookie)
        if named is not None and named is not flow.server:
            self._flows.move(flow, named)
        waited_millis = now - flow.sent_at if len(flow.tried_servers) == 1 else None
        if waited_millis is not None:
            self.follow_up_times.observe(waited_millis)
            if self._remote_traffic is not None:
                self._remote_traffic.note_follow_up(flow.server, waited_millis)
        self._warm_up.cold_servers.note_answer(flow.server, flow.sent_at, now)
        if self._silence_detector.note_follow_up(flow.server, waited_millis, now):
            self._on_event("backend_server_answers", server=flow.server.name)
        self._flows.establish(flow, packet)
        self._pinning.note_established(flow, now)

    def defer_overdue(self, flow: FlowRow, now: Millis) -> bool:
        """Return whether an overdue opening is left alone for now.

        Its follow-up may be part of the backlog. After a pause in which routers may
        have used other balancers it is not retried at all, as the follow-up or a
        retransmission may have been sent to them.
        """
        if now >= self.backlog_until:
            return False
        if self._pause_millis < ROUTER_TIMEOUT_MILLIS:
            flow.follow_up_due_at = self.backlog_until
            self._flows.await_follow_up(flow)
        return True

    def retry_overdue(
        self, flow: FlowRow, now: Millis
    ) -> tuple[ServerRow, bytes] | None:
        """Note an overdue opening; return the next server and the packet, or None."""
        silent = flow.server
        self._counters["openings_silent"] += 1
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
        self._warm_up.cold_servers.note_silence(
            silent, flow.sent_at, cut_off_until, now
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
        self._warm_up.note_opening(server, now)
        self._counters["openings_tried_again"] += 1
        self._on_event(
            "opening_tried_again",
            flow=flow_name(flow.key),
            silent=silent.name,
            server=server.name,
            n_tried=len(flow.tried_servers),
            waited_ms=now - flow.sent_at,
        )
        self._flows.retry(flow, server, now)
        flow.follow_up_due_at = now + self._silence_detector.follow_up_timeout_millis
        self._flows.await_follow_up(flow)
        return server, flow.opening

    def expire(self, now: Millis) -> None:
        """Remove deferred openings that their callers gave up."""
        self._deferred.expire(now)

    def _is_outdated(self, packet: Packet, now: Millis) -> bool:
        """Return whether an opening was queued so long that its flow may be open.

        Routers may have sent the caller's retransmissions to other balancers, which
        select other servers. Of its last one there is no later transmission.
        """
        if now >= self.backlog_until or self._pause_millis < ROUTER_TIMEOUT_MILLIS:
            return False
        is_last = packet.n_retransmissions >= len(RETRANSMIT_MILLIS)
        return self._pause_millis >= OUTDATED_PAUSE_MILLIS or not is_last

    def _refuse(
        self,
        packet: Packet,
        flow: FlowRow | None,
        reason: Refused,
        now: Millis,
        *,
        is_remembered: bool = False,
    ) -> Refused:
        """Return `reason`, or `POSSIBLY_OPEN` if the flow may be open somewhere.

        Openings that are deferred after a start are not remembered, so that their
        retransmissions are never reset.
        """
        n_retransmissions = packet.n_retransmissions
        if flow is not None or not self._deferred.has_all_before(
            packet.key, n_retransmissions, now
        ):
            return POSSIBLY_OPEN
        if reason.kind is not ErrorKind.DEFERRED:
            self._deferred.forget(packet.key)
        elif is_remembered:
            self._deferred.note_deferred(packet.key, n_retransmissions, now)
        return reason

    def _repeat(self, flow: FlowRow, now: Millis) -> ServerRow | Refused:
        """Return the server for the repeated opening of an established flow.

        Its caller has seen the answer, so nothing is lost if a cold server, which may
        have started again meanwhile, does not get it.
        """
        current = self._servers.get(flow.server.name) or flow.server
        if not self._warm_up.try_forward(current, now):
            return POSSIBLY_OPEN
        return flow.server

    def _open(
        self,
        packet: Packet,
        server: ServerRow,
        now: Millis,
        *,
        has_other_openings: bool,
    ) -> None:
        self._counters["flows_opened"] += 1
        flow = FlowRow(
            packet.key,
            server,
            destination=packet.destination,
            opening=packet.data,
            now=now,
            follow_up_due_at=now + self._silence_detector.follow_up_timeout_millis,
            request_timeout_millis=self._request_timeout_millis(packet.destination),
            opening_sequence=packet.sequence,
            has_other_openings=has_other_openings,
        )
        self._flows.open(flow, awaits_follow_up=now >= self.backlog_until)
        self._log.note_opened(packet, server, now)

    def _request_timeout_millis(self, destination: bytes) -> Millis:
        """Return how long a request to a destination counts as pending."""
        configuration = self._cluster_state.configuration
        assert configuration is not None
        target = configuration.routes[destination].target_latency_millis
        if target is None:
            return UNANSWERED_MILLIS
        return min(UNANSWERED_MILLIS, PENDING_TARGETS * target)
