"""State that balancers report to each other: what is sent, and what is applied."""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cluster_state import ClusterState
from stoattray_core.steering.contention import Contention
from stoattray_core.steering.cut_offs import CutOffReport
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.isolation import Isolation
from stoattray_core.steering.load_reports import LoadRow
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.peer_reports import PeerReports
from stoattray_core.steering.pinning import Pinning
from stoattray_core.steering.priority_levels import CutOff
from stoattray_core.steering.remote_traffic import RemoteTraffic
from stoattray_core.steering.replica import Difference
from stoattray_core.steering.servers import ServerTable
from stoattray_core.steering.warm_up_limit import WarmUpLimit


class PeerState:
    """Provides the contents of heartbeats, and applies those of peers.

    Parameters
    ----------
    cluster_state : ClusterState
        Replica, its confirmation and the health of the store.
    servers : ServerTable
        Servers whose pending requests are reported.
    members : MemberTable
        Other balancers.
    peer_reports : PeerReports
        Applies the load and failures that peers report.
    warm_up : WarmUpLimit
        Relies on the replica's confirmation.
    isolation : Isolation
        Ends with a heartbeat from another data centre.
    remote_traffic : RemoteTraffic or None
        Loads of data centres; None if the traffic between them is not limited.
    contention : Contention
        Cut-offs between priority levels.
    pinning : Pinning
        Flows that are pinned to a server.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        servers: ServerTable,
        members: MemberTable,
        peer_reports: PeerReports,
        *,
        warm_up: WarmUpLimit,
        isolation: Isolation,
        remote_traffic: RemoteTraffic | None,
        contention: Contention,
        pinning: Pinning,
    ) -> None:
        self._cluster_state = cluster_state
        self._servers = servers
        self._members = members
        self._peer_reports = peer_reports
        self._warm_up = warm_up
        self._isolation = isolation
        self._remote_traffic = remote_traffic
        self._contention = contention
        self._pinning = pinning

    def reported_age(self, now: Millis) -> Millis:
        """Return the age of the confirmation that peers may rely on.

        With a limit for cold servers they rely on it for ownership, too, so a report
        that was queued during a pause here must not make them confirm theirs.
        """
        if self._warm_up.is_active:
            return self._warm_up.confirmation.age(now)
        return self._cluster_state.confirmed_age(now)

    def confirm_by_watch(
        self, started_at: Millis, now: Millis, wait_millis: Millis
    ) -> None:
        """Note the answer to a watch of the store, of at most `wait_millis`."""
        self._cluster_state.confirm_replica(now)
        self._warm_up.confirmation.confirm_by_watch(started_at, now, wait_millis)

    def confirm_by_snapshot(self, started_at: Millis) -> None:
        """Note a snapshot of the store that was requested at a time."""
        self._cluster_state.confirm_replica(started_at)
        self._warm_up.confirmation.confirm(started_at)

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
        was_silent = self._members.receive_heartbeat(heartbeat, now)
        if heartbeat.member.data_centre != self._members.data_centre:
            self._isolation.note_contact()
        self._peer_reports.apply(heartbeat, now)
        if self._remote_traffic is not None:
            self._remote_traffic.merge(heartbeat.load_rows, now)
        self._contention.apply_reports(heartbeat.member.name, heartbeat.cut_offs, now)
        if heartbeat.pinned_flows:
            # Heartbeats reach all members of a small data centre at first hand.
            passes_on = (
                not is_response
                and heartbeat.member.data_centre == self._members.data_centre
                and self._members.samples_local_targets
            )
            self._pinning.merge(
                heartbeat.pinned_flows, now, n_announcements=int(passes_on)
            )
        if heartbeat.recovery_age is not None:
            self._cluster_state.store_health.note_peer_recovery(
                heartbeat.recovery_age, now
            )
        # Two empty replicas (revision 0) must not confirm each other.
        if (
            heartbeat.revision > 0
            and heartbeat.version == self._cluster_state.replica.version
        ):
            at = now - heartbeat.confirmed_age
            self._cluster_state.confirm_replica(at)
            if not is_response:
                self._warm_up.confirmation.confirm_by_report(at, now)
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
        if (
            difference.revision == 0
            or difference.version < self._cluster_state.replica.version
        ):
            return
        self._cluster_state.apply(difference, now)
        if self._cluster_state.replica.version == difference.version:
            self._cluster_state.confirm_replica(now - heartbeat.confirmed_age)
            if requested_at is not None:
                at = requested_at - heartbeat.confirmed_age
                self._warm_up.confirmation.confirm(at)

    def load_rows(self, now: Millis) -> tuple[LoadRow, ...]:
        """Return the loads for a heartbeat; none unless settings ask for them."""
        return () if self._remote_traffic is None else self._remote_traffic.rows(now)

    def cut_off_reports(self, now: Millis) -> tuple[CutOffReport, ...]:
        """Return the cut-offs between priority levels to report to other balancers."""
        return self._contention.reports(now)

    def cut_offs(self) -> dict[str, CutOff]:
        """Return the cut-offs in force that are not open, by service."""
        return self._contention.cut_offs()

    def pending_requests(self) -> dict[int, int]:
        """Return the number of pending requests seen here, by server cookie."""
        return {
            row.cookie: row.n_pending_requests
            for row in self._servers
            if row.n_pending_requests > 0
        }
