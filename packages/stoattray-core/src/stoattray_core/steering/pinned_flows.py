"""Flows that are pinned to a server, whatever cookie their packets carry.

A caller's packets carry the cookie that it received last. If the opening of a flow
reached several servers, each of them repeats its answer for seconds, so the last cookie
may be that of a server that does not hold the flow. Such flows are pinned to the server
at which they opened, and balancers exchange their pins.

A pin applies to one flow, not to a later one from the same port: the numbers of a
packet must follow those of the packet that opened the flow.
"""

from collections.abc import Iterator
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.packet import Packet

MAX_PINS = 4_096
"""Pins that are held; the oldest are dropped first."""

MAX_PINS_PER_MESSAGE = 32
"""Pins in one datagram, some 1,100 bytes."""

N_ANNOUNCEMENTS = 12
"""Heartbeats that carry a new pin. Four of them also go to other data centres, whose
balancers get a flow's packets if none of its own data centre is ready."""

MAX_FLOW_BYTES = 2**28
"""More than one end of a flow sends in 60 s, with 16 packets of 1,200 bytes per round
trip of 6 ms."""

REORDERED_BYTES = 2**20
"""Numbers that precede the first packet's by less are those of reordered packets."""


class PinnedFlow(NamedTuple):
    """One flow and the server that it is pinned to, as balancers exchange it.

    Parameters
    ----------
    key : bytes
        Caller's and service's address and port.
    cookie : int
        Identifies the server.
    sequence, acknowledgement : int
        Numbers of the first packet that followed the opening.
    age : Millis
        Time since that packet.
    """

    key: bytes
    cookie: int
    sequence: int
    acknowledgement: int
    age: Millis = 0


class _PinRow:
    """One pin, and how many more heartbeats carry it.

    Pins of others are passed on within the data centre only.
    """

    __slots__ = ("is_passed_on", "n_announcements", "pin", "pinned_at")

    def __init__(self, pin: PinnedFlow, pinned_at: Millis) -> None:
        self.pin = pin
        self.pinned_at = pinned_at
        self.n_announcements = 0
        self.is_passed_on = False

    def to_pin(self, now: Millis) -> PinnedFlow:
        """Return the pin with its present age."""
        return self.pin._replace(age=max(0, now - self.pinned_at))


class PinTable:
    """Pins by flow.

    Parameters
    ----------
    flow_life_millis : Millis
        Longest duration of a flow, after which its pin is dropped.
    """

    def __init__(self, flow_life_millis: Millis) -> None:
        self._flow_life_millis = flow_life_millis
        self._rows: dict[bytes, _PinRow] = {}
        self._announced: dict[bytes, _PinRow] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: object) -> bool:
        return key in self._rows

    def find(self, packet: Packet) -> PinnedFlow | None:
        """Return the pin of the flow that a packet belongs to, or None."""
        row = self._rows.get(packet.key)
        if row is None:
            return None
        pin = row.pin
        if packet.is_opening:
            belongs = is_near(packet.sequence, pin.sequence)
        else:
            belongs = is_of_flow(packet, pin.sequence, pin.acknowledgement)
        return pin if belongs else None

    def add(
        self,
        pin: PinnedFlow,
        now: Millis,
        *,
        n_announcements: int,
        is_passed_on: bool = False,
    ) -> bool:
        """Add a pin unless a better one is held; return whether it was added.

        Of two pins for a flow the one with the earlier packet is better, as later
        packets may carry a later cookie. Pins of an earlier flow from the same port are
        replaced.

        Parameters
        ----------
        pin : PinnedFlow
            The pin.
        now : Millis
            Current time.
        n_announcements : int
            Heartbeats that are to carry it.
        is_passed_on : bool
            Whether it is another balancer's.
        """
        if pin.age >= self._flow_life_millis:
            return False
        held = self._rows.pop(pin.key, None)
        pinned_at = now - pin.age
        if held is not None and not _is_better(pin, pinned_at, held):
            self._rows[pin.key] = held
            return False
        row = _PinRow(pin, pinned_at)
        self._rows[pin.key] = row
        self._announced.pop(pin.key, None)
        if n_announcements > 0:
            row.n_announcements = n_announcements
            row.is_passed_on = is_passed_on
            self._announced[pin.key] = row
        if len(self._rows) > MAX_PINS:
            self.remove(next(iter(self._rows)))
        return True

    def remove(self, key: bytes) -> None:
        """Remove the pin of a flow, if there is one."""
        self._rows.pop(key, None)
        self._announced.pop(key, None)

    def pop_announcements(
        self, now: Millis, *, leaves_data_centre: bool = False
    ) -> tuple[PinnedFlow, ...]:
        """Return the pins that the next heartbeat carries, those longest due first.

        Parameters
        ----------
        now : Millis
            Current time.
        leaves_data_centre : bool
            Whether the heartbeat also goes to other data centres.
        """
        keys = [
            key
            for key, row in self._announced.items()
            if not (leaves_data_centre and row.is_passed_on)
        ][:MAX_PINS_PER_MESSAGE]
        pins = []
        for key in keys:
            row = self._announced.pop(key)
            pins.append(row.to_pin(now))
            row.n_announcements -= 1
            if row.n_announcements > 0:
                self._announced[key] = row
        return tuple(pins)

    def messages(self, now: Millis) -> Iterator[tuple[PinnedFlow, ...]]:
        """Yield all pins in groups that fit into a datagram each."""
        pins = self.all(now)
        for start in range(0, len(pins), MAX_PINS_PER_MESSAGE):
            yield pins[start : start + MAX_PINS_PER_MESSAGE]

    def all(self, now: Millis) -> tuple[PinnedFlow, ...]:
        """Return all pins."""
        return tuple(row.to_pin(now) for row in self._rows.values())

    def expire(self, now: Millis) -> None:
        """Remove the pins of flows that have reached their longest duration."""
        expired = [
            key
            for key, row in self._rows.items()
            if now - row.pinned_at >= self._flow_life_millis
        ]
        for key in expired:
            self.remove(key)


def is_of_flow(
    packet: Packet | PinnedFlow, sequence: int, acknowledgement: int
) -> bool:
    """Return whether a packet belongs to the flow whose first numbers are given."""
    return is_near(packet.sequence, sequence) and is_near(
        packet.acknowledgement, acknowledgement
    )


def is_near(number: int, first: int) -> bool:
    """Return whether one end of a flow that began with `first` can reach a number."""
    distance = (number - first) % 2**32
    return distance < MAX_FLOW_BYTES or distance >= 2**32 - REORDERED_BYTES


def _is_better(pin: PinnedFlow, pinned_at: Millis, held: _PinRow) -> bool:
    """Return whether a pin replaces the one that is held for its key."""
    if not is_of_flow(pin, held.pin.sequence, held.pin.acknowledgement):
        return pinned_at > held.pinned_at
    lead = (held.pin.sequence - pin.sequence) % 2**32
    if lead == 0:
        return pin.cookie < held.pin.cookie
    return lead < 2**31
