"""Log lines about where flows were opened, and why openings were refused."""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.admission import Overload
from stoattray_core.steering.cluster_state import ClusterState
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.silence_detector import SilenceDetector


class OpeningLog:
    """Logs decisions about openings within the rate limit of their kind.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer.
    cluster_state : ClusterState
        Version and age of what a decision was based on.
    silence_detector : SilenceDetector
        Says which servers are deprioritised.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        data_centre: str,
        cluster_state: ClusterState,
        silence_detector: SilenceDetector,
        on_event: EventSink,
    ) -> None:
        self._own_data_centre = data_centre
        self._cluster_state = cluster_state
        self._silence_detector = silence_detector
        self._on_event = on_event

    def note_opened(self, packet: Packet, server: ServerRow, now: Millis) -> None:
        """Log where a flow was opened and why, unless over the rate limit."""
        if not self._on_event.is_enabled("flow_opened"):
            self._on_event.note_suppressed("flow_opened")
            return
        assert self._cluster_state.configuration is not None
        self._on_event(
            "flow_opened",
            flow=flow_name(packet.key),
            server=server.name,
            service=server.entry.service,
            data_centre=server.entry.data_centre,
            opened_in=self._own_data_centre,
            n_open=server.n_open,
            peer_load=round(server.peer_load, 2),
            is_suspect=self._silence_detector.is_suspect(server, now),
            presence=server.presence.value,
            heard_age_ms=now - server.record_received_at,
            version=self._cluster_state.configuration.version,
            era=self._cluster_state.replica.version.era,
            revision=self._cluster_state.replica.revision,
            confirmed_age_ms=self._cluster_state.confirmed_age(now),
        )

    def note_refused(self, packet: Packet, overload: Overload, now: Millis) -> None:
        """Log why an opening is refused, unless over the rate limit."""
        if not self._on_event.is_enabled("opening_refused"):
            self._on_event.note_suppressed("opening_refused")
            return
        server = overload.server
        reported_at = server.peer_reported_at
        expected, max_millis = overload.expected_millis, overload.max_millis
        self._on_event(
            "opening_refused",
            flow=flow_name(packet.key),
            server=server.name,
            service=server.entry.service,
            n_pending=server.n_pending_requests,
            peer_load=round(server.peer_load, 2),
            peer_load_age_ms=None if reported_at is None else now - reported_at,
            expected_ms=None if expected is None else round(expected),
            max_ms=None if max_millis is None else round(max_millis),
            response_ms=round(overload.response_millis),
            probability=round(overload.probability, 2),
            is_deferred=overload.is_deferred,
            **(overload.refusal.event_fields() if overload.refusal else {}),
        )
