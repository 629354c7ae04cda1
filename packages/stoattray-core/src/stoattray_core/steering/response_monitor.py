"""Passive monitoring of backend servers' responses, from callers' packets."""

from collections.abc import Callable

from stoattray_core._identifiers import Millis
from stoattray_core.steering.admission import AdmissionControl
from stoattray_core.steering.expected_requests import ExpectedRequests
from stoattray_core.steering.fast_failure_detector import FastFailureDetector
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.packet import Packet
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.response_times import ResponseTimes
from stoattray_core.steering.servers import ServerRow, ServerTable
from stoattray_core.steering.service_times import ServiceTimes

MAX_REFUSAL_SHARE = 0.1
"""Share of the service time below which a response counts as a refusal: a server that
refuses a request does not work on it. Too fast responses alone do not show that, as
service times vary and some served requests are as short."""


class ResponseMonitor:
    """Measures response times, and finds slow and failing servers by them.

    Parameters
    ----------
    servers : ServerTable
        Servers to monitor.
    flows : FlowTable
        Holds the pending requests.
    failure_detector : FastFailureDetector
        Detects failing servers by responses that are too fast.
    admission : AdmissionControl
        Adapts to the response times of requests that were served.
    on_event : EventSink
        Receives events.
    expected_requests : ExpectedRequests
        Measures the pauses of long flows.
    round_trip : callable
        Returns the time of a round trip to a server and the caller in ms.

    Attributes
    ----------
    on_response : callable or None
        Receives the server, the response time without queueing, and the time of each
        response that is not too fast.
    """

    def __init__(
        self,
        servers: ServerTable,
        flows: FlowTable,
        failure_detector: FastFailureDetector,
        admission: AdmissionControl,
        on_event: EventSink,
        expected_requests: ExpectedRequests,
        *,
        round_trip: Callable[[], float],
    ) -> None:
        self._servers = servers
        self._flows = flows
        self._failure_detector = failure_detector
        self._admission = admission
        self._on_event = on_event
        self._expected_requests = expected_requests
        self._round_trip = round_trip
        self._response_times = ResponseTimes()
        self._service_times = ServiceTimes()
        self.on_response: Callable[[ServerRow, float, Millis], None] | None = None

    def service_time(self, service: str) -> float | None:
        """Return a service's time in ms including a round trip, or None if unknown."""
        return self._service_times.get(service)

    def note_packet(self, flow: FlowRow, packet: Packet, now: Millis) -> None:
        """Note a request, or the response that a packet without data acknowledges."""
        if packet.has_data or packet.is_ending:
            idle_since = self._flows.end_idle(flow)
            if idle_since is not None:
                self._expected_requests.note_idle_end(
                    flow.server.entry.service,
                    now - idle_since,
                    has_request=packet.has_data,
                )
        if packet.has_data:
            self._flows.note_request(flow, now)
            return
        requested_at = self._flows.pop_request(flow)
        if requested_at is not None:
            self._flows.note_idle(flow, now)
            self._note_response(flow, now - requested_at, now)

    def expire_verdicts(self, now: Millis) -> None:
        """Clear the verdicts on slow and failing servers that are due for a retry."""
        for server in self._servers:
            self._response_times.reset_idle(server, now)
        self._failure_detector.expire(now)

    def _note_response(self, flow: FlowRow, waited_millis: Millis, now: Millis) -> None:
        server = flow.server
        self._expected_requests.note_response(server.entry.service, waited_millis)
        is_fast = self._response_times.note_response(server, waited_millis, now)
        service = server.entry.service
        self._service_times.note_response(
            service, waited_millis, now, queueing_factor=flow.queueing_factor
        )
        self._admission.note_response(
            service,
            waited_millis,
            now,
            destination=flow.destination,
            is_fast=is_fast,
            is_refused=is_fast
            and flow.queueing_factor > 1.0
            and self._is_immediate(service, waited_millis),
        )
        if not is_fast and self.on_response is not None:
            self.on_response(server, waited_millis / flow.queueing_factor, now)
        is_new = self._failure_detector.note_response(
            server,
            now,
            is_fast=is_fast,
            is_saturated=is_fast and self._servers.is_saturated(service, now),
            n_servers=self._servers.n_of_service(service),
        )
        if is_new:
            self._on_event(
                "backend_server_failing",
                server=server.name,
                fast_share=round(server.fast_share, 2),
                waited_ms=waited_millis,
            )

    def _is_immediate(self, service: str, waited_millis: Millis) -> bool:
        """Return whether a response came too soon for any work on its request."""
        service_time = self._service_times.get(service)
        if service_time is None:
            return True
        round_trip = self._round_trip()
        work_millis = max(0.0, service_time - round_trip)
        return waited_millis - round_trip <= MAX_REFUSAL_SHARE * work_millis
