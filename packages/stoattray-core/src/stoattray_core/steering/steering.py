"""Routing of callers' packets to backend servers, with cookie placement.

Invariants:

1. A flow has one backend server. Its packets carry that server's cookie, so
   every balancer forwards them there. A flow whose packets may carry another
   cookie is pinned.
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
from stoattray_core.steering.admission import AdmissionControl
from stoattray_core.steering.cluster_state import ClusterState
from stoattray_core.steering.contention import Contention
from stoattray_core.steering.cut_offs import CutOffReport
from stoattray_core.steering.entries import Configuration, MemberEntry
from stoattray_core.steering.evacuations import Evacuations
from stoattray_core.steering.fast_failure_detector import FastFailureDetector
from stoattray_core.steering.flow_placement import FlowPlacement
from stoattray_core.steering.flows import FlowTable
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.histogram import Histogram
from stoattray_core.steering.isolation import Isolation
from stoattray_core.steering.load_reports import LoadRow
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.opening_log import OpeningLog
from stoattray_core.steering.openings import UNANSWERED_MILLIS, Openings
from stoattray_core.steering.packet import Packet
from stoattray_core.steering.peer_reports import PeerReports
from stoattray_core.steering.peer_state import PeerState
from stoattray_core.steering.pinning import Pinning, is_of_later_flow
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

UNKNOWN_COOKIE = Refused(ErrorKind.UNKNOWN_COOKIE)


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
        self._random = random
        self._on_event = on_event
        self._silence_detector = SilenceDetector(own.data_centre)
        self._flows = FlowTable()
        self.pinning = Pinning(
            self.servers,
            self._flows,
            flow_life_millis,
            counters=self.counters,
            on_event=on_event,
        )
        self._failure_detector = FastFailureDetector()
        self._contention = Contention(
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
            self._contention.expected_requests,
            round_trip=lambda: self._silence_detector.baseline_follow_up_time,
        )
        self._peer_reports = PeerReports(self.servers, self._failure_detector)
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
        self.isolation = Isolation(
            self.cluster_state.confirmed_age, counters=self.counters, on_event=on_event
        )
        placement = FlowPlacement(
            self.cluster_state,
            selector,
            self._admission,
            isolation=self.isolation,
            warm_up=self.warm_up,
            service_time=self._service_time,
            counters=self.counters,
            random=random,
            far_rule=self.remote_traffic,
        )
        self._openings = Openings(
            self.cluster_state,
            self.servers,
            self._flows,
            placement,
            silence_detector=self._silence_detector,
            warm_up=self.warm_up,
            remote_traffic=self.remote_traffic,
            pinning=self.pinning,
            is_ready=lambda: self.is_ready,
            log=OpeningLog(
                own.data_centre, self.cluster_state, self._silence_detector, on_event
            ),
            counters=self.counters,
            on_event=on_event,
        )
        self._peer_state = PeerState(
            self.cluster_state,
            self.servers,
            self.members,
            self._peer_reports,
            warm_up=self.warm_up,
            isolation=self.isolation,
            remote_traffic=self.remote_traffic,
            contention=self._contention,
            pinning=self.pinning,
        )
        self._last_tick_at: Millis | None = None

    @property
    def follow_up_times(self) -> Histogram:
        """Return the times to the follow-up of openings."""
        return self._openings.follow_up_times

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
        return self._peer_state.reported_age(now)

    def confirm_replica(self, at: Millis) -> None:
        """Note that the replica was complete at a time."""
        self.cluster_state.confirm_replica(at)

    def confirm_by_watch(
        self, started_at: Millis, now: Millis, wait_millis: Millis
    ) -> None:
        """Note the answer to a watch of the store, of at most `wait_millis`."""
        self._peer_state.confirm_by_watch(started_at, now, wait_millis)

    def confirm_by_snapshot(self, started_at: Millis) -> None:
        """Note a snapshot of the store that was requested at a time."""
        self._peer_state.confirm_by_snapshot(started_at)

    def failing_cookies(self, now: Millis) -> tuple[int, ...]:
        """Return cookies of servers that this balancer itself found to be failing."""
        return self._failure_detector.failing_cookies(now)

    def pending_requests(self) -> dict[int, int]:
        """Return the number of pending requests seen here, by server cookie."""
        return self._peer_state.pending_requests()

    def load_rows(self, now: Millis) -> tuple[LoadRow, ...]:
        """Return the loads for a heartbeat; none unless settings ask for them."""
        return self._peer_state.load_rows(now)

    def cut_off_reports(self, now: Millis) -> tuple[CutOffReport, ...]:
        """Return the cut-offs between priority levels to report to other balancers."""
        return self._peer_state.cut_off_reports(now)

    def cut_offs(self) -> dict[str, CutOff]:
        """Return the cut-offs in force that are not open, by service."""
        return self._peer_state.cut_offs()

    def exclude_backlog(self, now: Millis) -> None:
        """Exclude packets queued before the start from silence detection."""
        self._openings.begin_backlog(now)
        self._admission.start(now)

    def apply_changes(self, difference: Difference, now: Millis) -> None:
        """Apply changes from the store or a peer."""
        self.cluster_state.apply(difference, now)

    def apply_heartbeat(
        self, heartbeat: Heartbeat, now: Millis, *, is_response: bool = False
    ) -> bool:
        """Apply a heartbeat; see `PeerState.apply_heartbeat`."""
        return self._peer_state.apply_heartbeat(heartbeat, now, is_response=is_response)

    def apply_peer_response(
        self,
        heartbeat: Heartbeat,
        difference: Difference,
        now: Millis,
        *,
        requested_at: Millis | None = None,
    ) -> None:
        """Apply the changes that a peer sent because this balancer lacks them."""
        self._peer_state.apply_peer_response(
            heartbeat, difference, now, requested_at=requested_at
        )

    def route_packet(self, packet: Packet, now: Millis) -> ServerRow | Refused:
        """Return the backend server for a packet, or why it is refused."""
        flow = self._flows.get(packet.key)
        if packet.is_opening:
            return self._openings.route(packet, flow, now)
        if flow is not None and is_of_later_flow(packet, flow):
            self._flows.close(flow)
            flow = None
        if flow is None:
            return self.pinning.server(packet) or UNKNOWN_COOKIE
        flow.last_packet_at = now
        if not flow.is_established:
            self._openings.establish(flow, packet, now)
        elif packet.cookie != flow.server.cookie:
            self.pinning.note_cookie(flow, packet, now)
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
        self._openings.begin_backlog(now, pause_millis=pause)
        self._on_event("woke", pause_ms=pause)

    def note_queued_packets(self, now: Millis) -> None:
        """Note that packets are still queued after a batch of them was read."""
        self._openings.extend_backlog(now)

    def tick(self, now: Millis) -> Iterator[tuple[ServerRow, bytes]]:
        """Check overdue openings; yield those to retry, with the next server."""
        self.detect_pause(now)
        self.cluster_state.remove_lapsed(now)
        self._flows.expire_requests(now)
        for flow in self._flows.pop_overdue(now):
            if self._openings.defer_overdue(flow, now):
                continue
            resend = self._openings.retry_overdue(flow, now)
            if resend is not None:
                yield resend

    def remove_expired(self, now: Millis) -> None:
        """Remove expired entries from all tables; runs about once a second."""
        self.cluster_state.end_kept_evacuations(now)
        for name in self.members.expire(now):
            self._on_event("member_silent", member=name)
        self.servers.expire(now)
        self.pinning.pins.expire(now)
        self.warm_up.expire(now)
        self._response_monitor.expire_verdicts(now)
        self._contention.expire(now, n_balancers=1 + len(self.members.live(now)))
        self._openings.expire(now)
        self._peer_reports.retain(row.entry.name for row in self.members.live(now))
        idle = self.configuration.idle_timeout_millis if self.configuration else 0
        self._flows.expire(
            now, idle_timeout_millis=idle, unanswered_timeout_millis=UNANSWERED_MILLIS
        )

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
