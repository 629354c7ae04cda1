"""What callers' packets after an answer tell of backend servers: pace and failures."""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.failures import Failures
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.interfaces import EventSink
from stoattray_core.steering.pace import Pace
from stoattray_core.steering.packet import Packet
from stoattray_core.steering.servers import ServerRow, ServerTable


class Answers:
    """Measures from requests to the callers' next packets, and judges by it.

    Parameters
    ----------
    servers : ServerTable
        Whose answers are judged.
    flows : FlowTable
        Where requests that wait for an answer are kept.
    failures : Failures
        Takes answers that came far too fast.
    on_event : EventSink
        Takes events.
    """

    def __init__(
        self,
        servers: ServerTable,
        flows: FlowTable,
        failures: Failures,
        on_event: EventSink,
    ) -> None:
        self._servers = servers
        self._flows = flows
        self._failures = failures
        self._on_event = on_event
        self._pace = Pace()

    def usual(self, service: str) -> float | None:
        """Return the usual time of a service's answers, or None if not known yet."""
        return self._pace.usual(service)

    def note_packet(self, flow: FlowRow, packet: Packet, now: Millis) -> None:
        """Measure from a request to the caller's next packet without data."""
        if packet.has_data:
            self._flows.ask(flow, now)
            return
        asked_at = self._flows.take_asked(flow)
        if asked_at is not None:
            self._note_answered(flow.server, now - asked_at, now)

    def forget(self, now: Millis) -> None:
        """Try servers again that were slow or failed and had no requests for long."""
        for server in self._servers:
            self._pace.forget(server, now)
        self._failures.forget(now)

    def _note_answered(self, server: ServerRow, waited: Millis, now: Millis) -> None:
        is_fast = self._pace.note_answer(server, waited, now)
        service = server.entry.service
        is_news = self._failures.note_answer(
            server,
            now,
            is_fast=is_fast,
            is_pressed=is_fast and self._servers.is_pressed(service, now),
            n_servers=self._servers.n_of_service(service),
        )
        if is_news:
            self._on_event(
                "backend_server_failing",
                server=server.name,
                fast_share=round(server.fast_share, 2),
                waited_ms=waited,
            )
