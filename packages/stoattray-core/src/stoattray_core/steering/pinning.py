"""Pinning of flows whose opening may have reached several servers.

Invariant: the packets of such a flow reach the server at which it opened by way of any
balancer that has the pin, also after the balancer that opened the flow has stopped.
"""

from collections import Counter
from collections.abc import Iterable

from stoattray_core._identifiers import Millis
from stoattray_core.steering.flows import FlowRow, FlowTable
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.pinned_flows import (
    N_ANNOUNCEMENTS,
    PinnedFlow,
    PinTable,
    is_near,
    is_of_flow,
)
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.servers import ServerRow, ServerTable


class Pinning:
    """Pins flows, and follows the pins of other balancers.

    Parameters
    ----------
    servers : ServerTable
        Servers by cookie.
    flows : FlowTable
        Flows that were opened here.
    flow_life_millis : Millis
        Longest duration of a flow.
    counters : Counter
        Counts the flows that were pinned here, and the packets that a pin sent to
        another server than that of their cookie.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        servers: ServerTable,
        flows: FlowTable,
        flow_life_millis: Millis,
        *,
        counters: Counter[str],
        on_event: EventSink,
    ) -> None:
        self.pins = PinTable(flow_life_millis)
        self._servers = servers
        self._flows = flows
        self._counters = counters
        self._on_event = on_event

    def server(self, packet: Packet) -> ServerRow | None:
        """Return the server of a packet whose flow was not opened here, or None."""
        named = self._servers.by_cookie(packet.cookie)
        pin = self.pins.find(packet) if packet.key in self.pins else None
        if pin is None or pin.cookie == packet.cookie:
            return named
        pinned = self._servers.by_cookie(pin.cookie)
        if pinned is None:
            return named
        self._counters["packets_to_pinned_server"] += 1
        return pinned

    def is_open(self, opening: Packet) -> bool:
        """Return whether the flow of an opening packet is pinned, so that it is open.

        The pin of an earlier flow from the same port is removed.
        """
        if opening.key not in self.pins:
            return False
        if self.pins.find(opening) is not None:
            return True
        self.pins.remove(opening.key)
        return False

    def note_established(self, flow: FlowRow, now: Millis) -> None:
        """Pin a flow that was just established if its opening may be at two servers."""
        if flow.has_other_openings or len(flow.tried_servers) > 1:
            self._pin(flow, now)

    def note_cookie(self, flow: FlowRow, packet: Packet, now: Millis) -> None:
        """Pin an established flow if one of its packets carries another's cookie."""
        if packet.key in self.pins:
            return
        named = self._servers.by_cookie(packet.cookie)
        if named is not None and named.name != flow.server.name:
            self._pin(flow, now)

    def merge(
        self, pins: Iterable[PinnedFlow], now: Millis, *, n_announcements: int
    ) -> None:
        """Apply the pins of another balancer.

        Parameters
        ----------
        pins : iterable of PinnedFlow
            The pins.
        now : Millis
            Current time.
        n_announcements : int
            Own heartbeats that are to pass on those that are new.
        """
        for pin in pins:
            if not self._is_later(pin):
                added = self.pins.add(
                    pin, now, n_announcements=n_announcements, is_passed_on=True
                )
                if added:
                    self._close_contradicting(pin)

    def _pin(self, flow: FlowRow, now: Millis) -> None:
        pin = PinnedFlow(
            flow.key,
            flow.server.cookie,
            flow.first_sequence,
            flow.first_acknowledgement,
        )
        if not self.pins.add(pin, now, n_announcements=N_ANNOUNCEMENTS):
            return
        self._counters["flows_pinned"] += 1
        self._on_event(
            "flow_pinned",
            flow=flow_name(flow.key),
            server=flow.server.name,
            n_tried=len(flow.tried_servers),
            has_other_openings=flow.has_other_openings,
        )

    def _is_later(self, pin: PinnedFlow) -> bool:
        """Return whether an own row of the flow is older evidence than a pin."""
        flow = self._flows.get(pin.key)
        if flow is None or not flow.is_established:
            return False
        lead = (pin.sequence - flow.first_sequence) % 2**32
        return is_near(pin.sequence, flow.first_sequence) and lead < 2**31

    def _close_contradicting(self, pin: PinnedFlow) -> None:
        """Stop counting and retrying a flow that is open at another server."""
        flow = self._flows.get(pin.key)
        if flow is None or not is_near(pin.sequence, flow.opening_sequence):
            return
        pinned = self._servers.by_cookie(pin.cookie)
        if not flow.is_established or pinned is not flow.server:
            self._flows.close(flow)


def is_of_later_flow(packet: Packet, flow: FlowRow) -> bool:
    """Return whether a packet is of a later flow from the port of a row's flow.

    The earlier flow has ended, and the later one opened, by way of other balancers.
    """
    if packet.cookie == flow.server.cookie:
        return False
    if not flow.is_established:
        return not is_near(packet.sequence, flow.opening_sequence)
    return not is_of_flow(packet, flow.first_sequence, flow.first_acknowledgement)
