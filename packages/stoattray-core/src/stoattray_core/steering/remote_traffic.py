"""Selection of servers where some data centres are far.

It applies the rule and the split of `locality.py` to the candidates of one opening,
with the reports, round trips and budgets of this balancer.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from functools import partial
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.data_centre_speeds import DataCentreSpeeds
from stoattray_core.steering.load_reports import (
    LoadRow,
    offered_loads,
    usable_capacity,
)
from stoattray_core.steering.locality import (
    Reason,
    RemoteTrafficSettings,
    SentWork,
    expected_millis,
    is_queue_nearly_full,
    reason_to_leave,
)
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.peer_reports import PeerReports
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.round_trips import RoundTrips
from stoattray_core.steering.server_selector import ServerSelector
from stoattray_core.steering.servers import ServerRow, ServerTable
from stoattray_core.steering.silence_detector import SilenceDetector
from stoattray_core.steering.split_table import SplitTable

REFRESH_MILLIS = 100
"""Time between measurements of the own load, after which the split is computed again.
Peers report every 0.2 s."""

ASKED_MILLIS = 60_000
"""Time for which rows are sent after a peer's rows arrived. A data centre with spare
capacity forwards nothing to others, so it may not have measured its distance."""


class RemoteTraffic:
    """Decides which openings leave the data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer.
    settings : RemoteTrafficSettings
        Least extra round trip and price.
    servers : ServerTable
        All servers.
    members : MemberTable
        Other balancers; those of this data centre share the split.
    peer_reports : PeerReports
        Pending requests that peers report.
    silence_detector : SilenceDetector
        Says which servers and data centres are suspect.
    selector : ServerSelector
        Selects among equally near servers.
    random : Random
        Spreads the first openings of balancers over time.
    on_event : EventSink
        Receives events.

    Attributes
    ----------
    n_left : Counter
        Openings that left, by service and reason.
    n_bytes : Counter
        Bytes of callers' packets to far servers, by service.
    """

    def __init__(
        self,
        data_centre: str,
        settings: RemoteTrafficSettings,
        *,
        servers: ServerTable,
        members: MemberTable,
        peer_reports: PeerReports,
        silence_detector: SilenceDetector,
        selector: ServerSelector,
        random: Random,
        on_event: EventSink,
    ) -> None:
        self.n_left: Counter[tuple[str, str]] = Counter()
        self.n_bytes: Counter[str] = Counter()
        self._data_centre = data_centre
        self._settings = settings
        self._servers = servers
        self._members = members
        self._peer_reports = peer_reports
        self._silence_detector = silence_detector
        self._selector = selector
        self._random = random
        self._on_event = on_event
        self._splits = SplitTable(data_centre, on_event)
        self._round_trips = RoundTrips(data_centre)
        self._speeds = DataCentreSpeeds()
        self._distances: dict[str, float] = {}
        self._sent: dict[tuple[str, str], SentWork] = {}
        self._service_times: dict[str, float] = {}
        self._refreshed_at: Millis | None = None
        self._asked_until: Millis = 0

    def note_follow_up(self, server: ServerRow, waited_millis: Millis) -> None:
        """Note the time to the follow-up of an opening at a server."""
        self._round_trips.note_follow_up(server.entry.data_centre, waited_millis)
        self._distances = self._round_trips.distances(
            self._settings.min_round_trip_millis
        )

    def note_response(
        self, server: ServerRow, unqueued_millis: float, now: Millis
    ) -> None:
        """Note a response of a server, without the time that it queued."""
        data_centre = server.entry.data_centre
        millis = unqueued_millis - self._round_trips.follow_up_millis(data_centre)
        service = server.entry.service
        self._speeds.note_response(data_centre, service, max(1.0, millis), now)

    def note_packet(self, server: ServerRow, n_bytes: int) -> None:
        """Count the bytes of a caller's packet if it goes to a far server."""
        if self.is_far(server):
            self.n_bytes[server.entry.service] += n_bytes

    def merge(self, rows: Iterable[LoadRow], now: Millis) -> None:
        """Apply the rows of a peer's heartbeat."""
        rows = tuple(rows)
        if rows:
            self._asked_until = now + ASKED_MILLIS
        self._splits.reports.merge(rows, now)

    def rows(self, now: Millis) -> tuple[LoadRow, ...]:
        """Return the rows for a heartbeat.

        None are sent until this balancer or one that it hears has found a data centre
        to be far, so deployments whose data centres are all near pay nothing.
        """
        if not self._distances and now >= self._asked_until:
            return ()
        self._refresh(now)
        return self._splits.reports.rows(now, self._random)

    def is_far(self, server: ServerRow) -> bool:
        """Return whether the rule applies to a server's data centre."""
        return server.entry.data_centre in self._distances

    def applies_to(self, rows: Sequence[ServerRow]) -> bool:
        """Return whether the rule applies to any of the candidates."""
        return bool(self._distances) and any(self.is_far(row) for row in rows)

    def select(
        self,
        rows: Sequence[ServerRow],
        service: str,
        target_millis: Millis | None,
        service_time: float | None,
        now: Millis,
        *,
        avoid: Sequence[ServerRow] = (),
    ) -> ServerRow | None:
        """Return the best server for a new flow, or None if there is none.

        Parameters
        ----------
        rows : sequence of ServerRow
            Candidates of one service.
        service : str
            The service.
        target_millis : Millis or None
            Target latency of the route; None if there is none.
        service_time : float or None
            Service time in ms without the round trip; None if unknown.
        now : Millis
            Current time.
        avoid : sequence of ServerRow
            Servers that left this flow unanswered.
        """
        self._refresh(now)
        near = [row for row in rows if not self.is_far(row)]
        far = [row for row in rows if self.is_far(row)]
        local = self._selector.select(near, now, avoid=avoid)
        usable_far = [row for row in far if self._is_usable(row, now, avoid)]
        if local is None or not self._is_usable(local, now, avoid):
            remote = self._selector.select(usable_far, now)
            if remote is None:
                return local or self._selector.select(far, now, avoid=avoid)
            self._note_left(remote, Reason.NO_SERVER, now)
            return remote
        service_time = self._calm_service_time(service, service_time)
        if service_time is None:
            return local
        remote = self._best_remote(usable_far, service, service_time, now)
        if remote is None:
            return local
        local_millis = self._expected_millis(local, service_time, now)
        remote_millis = self._remote_millis(remote, service_time, now)
        reason = reason_to_leave(
            local_millis,
            remote_millis,
            target_millis,
            is_nearly_full=is_queue_nearly_full(local),
        )
        if reason is None:
            return local
        sent = self._sent_work(service, remote.entry.data_centre, service_time)
        sent.add(self._service_time(remote, service_time, now))
        self._note_left(remote, reason, now, local_millis, remote_millis)
        return remote

    def _service_time(self, row: ServerRow, usual_millis: float, now: Millis) -> float:
        """Return a server's service time in ms, given the service's usual one."""
        recent = self._speeds.service_time(
            row.entry.data_centre, row.entry.service, usual_millis, now
        )
        return max(recent, usual_millis * row.slowdown)

    def _expected_millis(
        self, row: ServerRow, usual_millis: float, now: Millis
    ) -> float:
        return expected_millis(row, self._service_time(row, usual_millis, now), now)

    def _calm_service_time(
        self, service: str, service_time: float | None
    ) -> float | None:
        """Return the service time from before the present excess, if it is known.

        With long queues, refused requests and old reports distort the service time: it
        fell from 49 to 15 ms in three seconds.
        """
        has_excess = self._splits.has_excess(service)
        is_usable = not has_excess or service not in self._service_times
        if service_time is not None and is_usable:
            self._service_times[service] = service_time
        return self._service_times.get(service)

    def _is_usable(
        self, row: ServerRow, now: Millis, avoid: Sequence[ServerRow]
    ) -> bool:
        is_suspect = self._silence_detector.is_suspect(row, now)
        return row.accepts_flows and row not in avoid and not is_suspect

    def _best_remote(
        self,
        usable_far: list[ServerRow],
        service: str,
        service_time: float,
        now: Millis,
    ) -> ServerRow | None:
        """Return the best far server that the split allows, or None."""
        slots = self._splits.slots(service)
        allowed = set()
        for data_centre, n_slots in slots.items():
            sent = self._sent_work(service, data_centre, service_time)
            sent.update(n_slots, now)
            millis = self._speeds.service_time(data_centre, service, service_time, now)
            if sent.has_room(n_slots, millis):
                allowed.add(data_centre)
        return min(
            (row for row in usable_far if row.entry.data_centre in allowed),
            key=lambda row: (
                self._remote_millis(row, service_time, now),
                row.n_open,
                self._random.random(),
            ),
            default=None,
        )

    def _remote_millis(self, row: ServerRow, service_time: float, now: Millis) -> float:
        """Return the cost of a far server in ms, with the round trip and the price.

        Few remote balancers are heard, so that the server's own load looks low; the
        report of its data centre is the lower bound.
        """
        data_centre = row.entry.data_centre
        millis = self._expected_millis(row, service_time, now)
        load = self._splits.load(row.entry.service, data_centre)
        if load is not None and load.capacity > 0.0:
            own_millis = self._service_time(row, service_time, now)
            millis = max(millis, load.load / load.capacity * own_millis)
        return millis + self._distances[data_centre] + self._settings.price_millis

    def _sent_work(
        self, service: str, data_centre: str, service_time: float
    ) -> SentWork:
        """Return the work that was sent to a data centre.

        The work at the start is random, so that the first openings of all balancers do
        not leave at the same time.
        """
        key = service, data_centre
        if key not in self._sent:
            self._sent[key] = SentWork(self._random.random() * service_time)
        return self._sent[key]

    def _refresh(self, now: Millis) -> None:
        """Measure the own load and compute the splits, at most every 0.1 s."""
        at = self._refreshed_at
        if at is not None and now - at < REFRESH_MILLIS:
            return
        self._refreshed_at = now
        local_peers = [row.entry.name for row in self._members.live_local(now)]
        self._measure(local_peers, now)
        for data_centre in self._distances:
            if self._silence_detector.is_cut_off(data_centre, now):
                self._splits.reports.discard(data_centre, now)
        self._splits.update(self._distances, 1 + len(local_peers), now)

    def _measure(self, local_peers: list[str], now: Millis) -> None:
        loads = offered_loads(
            self._servers.services,
            self._servers,
            self._peer_reports.requests_by_service(local_peers),
        )
        for service, load in loads.items():
            rows = [
                row
                for row in self._servers.local_of_service(service)
                if not self._silence_detector.is_suspect(row, now)
                and not self._servers.is_evacuated(row)
            ]
            usual_millis = self._service_times.get(service)
            slowdown = partial(self._slowdown, usual_millis=usual_millis, now=now)
            capacity = usable_capacity(rows, now, slowdown=slowdown)
            self._splits.reports.measure(service, load, capacity, now)

    def _slowdown(
        self, row: ServerRow, usual_millis: float | None, now: Millis
    ) -> float:
        if usual_millis is None:
            return row.slowdown
        return self._service_time(row, usual_millis, now) / usual_millis

    def _note_left(
        self,
        server: ServerRow,
        reason: Reason,
        now: Millis,
        local_millis: float | None = None,
        remote_millis: float | None = None,
    ) -> None:
        service, data_centre = server.entry.service, server.entry.data_centre
        self.n_left[service, reason.value] += 1
        if not self._on_event.is_enabled("opening_left"):
            self._on_event.note_suppressed("opening_left")
            return
        load = self._splits.load(service, data_centre)
        self._on_event(
            "opening_left",
            server=server.name,
            service=service,
            data_centre=data_centre,
            reason=reason.value,
            local_ms=None if local_millis is None else round(local_millis),
            remote_ms=None if remote_millis is None else round(remote_millis),
            round_trip_ms=self._distances[data_centre],
            remote_load=None if load is None else round(load.load, 1),
            remote_capacity=None if load is None else round(load.capacity, 1),
        )
