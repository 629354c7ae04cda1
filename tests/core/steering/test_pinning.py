"""Pinned flows: openings that reached several servers, on more than one balancer."""

import unittest
from unittest.mock import patch

from stoattray_core._errors import ERROR_RESPONSES, PacketResponse
from stoattray_core.steering import pinned_flows
from stoattray_core.steering.pinned_flows import (
    MAX_PINS_PER_MESSAGE,
    N_ANNOUNCEMENTS,
    PinnedFlow,
    PinTable,
)
from tests.steering_builders import (
    FIRST_ACKNOWLEDGEMENT,
    FLOW_LIFE_MILLIS,
    OPENING_SEQUENCE,
    START_MILLIS,
    Balancer,
    configuration,
    following,
    heartbeat,
    member_entry,
    opening,
    server_entry,
)

PORT = 40_000


def balancer_with(*names: str, **options: object) -> Balancer:
    """Return a balancer with a configuration and backend servers."""
    balancer = Balancer(**options)
    balancer.declare(configuration(), *(server_entry(name) for name in names))
    return balancer


def pin(port: int = PORT, cookie: int = 7, **changes: object) -> PinnedFlow:
    """Return a pin of a flow from a port."""
    values = {
        "key": opening(port).key,
        "cookie": cookie,
        "sequence": OPENING_SEQUENCE + 1,
        "acknowledgement": FIRST_ACKNOWLEDGEMENT,
        **changes,
    }
    return PinnedFlow(**values)


def announce(sender: Balancer, recipient: Balancer) -> None:
    """Deliver the heartbeat that a balancer sends next."""
    pins = sender.steering.pinning.pins.pop_announcements(sender.now)
    report = heartbeat(sender.own.name, pinned_flows=pins)
    recipient.steering.apply_heartbeat(report, recipient.now)


class PinningTest(unittest.TestCase):
    """Two balancers that know two servers."""

    def setUp(self):
        self.opener = balancer_with("i-01", "i-02")
        self.other = balancer_with("i-01", "i-02", name="edge-2", seed=2)

    def open_at_second_server(self):
        """Open a flow at the server that its opening was retried at."""
        first = self.opener.open(PORT)
        timeout = self.opener.steering.follow_up_timeout_millis
        [(second, _)] = self.opener.advance(timeout + 5)
        self.assertIs(self.opener.follow(PORT, second), second)
        return first, second

    def test_flow_that_was_retried_stays_when_its_balancer_stops(self):
        """Guards against resets by a server that repeats an earlier answer."""
        first, second = self.open_at_second_server()
        announce(self.opener, self.other)
        self.assertEqual(self.other.follow(PORT, first).name, second.name)
        self.assertEqual(self.other.steering.counters["packets_to_pinned_server"], 1)

    def test_flow_that_opened_elsewhere_meanwhile_stays(self):
        """Guards against a balancer that forwards a queued opening late."""
        late = self.other.open(PORT)
        self.opener.declare(server_entry(late.name, is_draining=True))
        server = self.opener.open(PORT, n_retransmissions=1)
        self.assertNotEqual(server.name, late.name)
        self.opener.follow(PORT, server)
        announce(self.opener, self.other)
        self.assertEqual(self.other.follow(PORT, late).name, server.name)
        self.assertEqual(self.other.steering.n_flows, 0)
        self.assertEqual((late.n_open, late.n_half_open), (0, 0))
        self.assertEqual(self.other.advance(1_000), [])

    def test_late_opening_of_a_pinned_flow_is_dropped(self):
        _, second = self.open_at_second_server()
        announce(self.opener, self.other)
        refused = self.other.open(PORT)
        self.assertIs(ERROR_RESPONSES[refused.kind].packet, PacketResponse.NONE)
        self.assertEqual(self.other.steering.n_flows, 0)

    def test_another_servers_cookie_pins_the_flow(self):
        """Guards against openings that were retransmitted without this balancer."""
        server = self.opener.open(PORT)
        self.opener.follow(PORT, server)
        self.assertEqual(len(self.opener.steering.pinning.pins), 0)
        name = "i-02" if server.name == "i-01" else "i-01"
        stranger = self.opener.steering.servers.get(name)
        self.assertIs(self.opener.follow(PORT, stranger), server)
        announce(self.opener, self.other)
        self.assertEqual(self.other.follow(PORT, stranger).name, server.name)

    def test_flow_with_a_single_opening_is_not_pinned(self):
        server = self.opener.open(PORT)
        self.opener.follow(PORT, server)
        self.assertEqual(len(self.opener.steering.pinning.pins), 0)

    def test_later_flow_from_the_same_port_is_not_pinned(self):
        """Guards against a pin that sends a later flow to an earlier one's server."""
        first, second = self.open_at_second_server()
        announce(self.opener, self.other)
        for numbers in (
            {"sequence": OPENING_SEQUENCE + 2**30},
            {"acknowledgement": FIRST_ACKNOWLEDGEMENT + 2**30},
        ):
            later = following(PORT, first.cookie, **numbers)
            routed = self.other.steering.route_packet(later, self.other.now)
            self.assertEqual(routed.name, first.name)
        self.assertIn(
            self.other.open(PORT, sequence=OPENING_SEQUENCE + 2**30).name,
            ("i-01", "i-02"),
        )
        self.assertEqual(len(self.other.steering.pinning.pins), 0)

    def test_numbers_of_a_flow_may_wrap_around(self):
        sequence = 2**32 - 1
        self.opener.open(PORT, sequence=sequence)
        timeout = self.opener.steering.follow_up_timeout_millis
        [(second, _)] = self.opener.advance(timeout + 5)
        packet = following(PORT, second.cookie, sequence=0)
        self.opener.steering.route_packet(packet, self.opener.now)
        announce(self.opener, self.other)
        later = following(PORT, 1, sequence=5_000)
        routed = self.other.steering.route_packet(later, self.other.now)
        self.assertEqual(routed.name, second.name)

    def test_earlier_packet_decides_between_two_balancers(self):
        """Guards against a row that a packet with a later cookie established."""
        _, second = self.open_at_second_server()
        late = self.other.open(PORT)
        packet = following(PORT, late.cookie, sequence=OPENING_SEQUENCE + 500)
        self.other.steering.route_packet(packet, self.other.now)
        announce(self.opener, self.other)
        self.assertEqual(self.other.follow(PORT, late).name, second.name)
        announce(self.other, self.opener)
        self.assertEqual(self.opener.follow(PORT, late).name, second.name)

    def test_pins_are_passed_on_where_heartbeats_reach_a_sample_only(self):
        for n_members, expected in ((3, 0), (30, 1)):
            balancer = balancer_with("i-01")
            balancer.declare(*(member_entry(f"edge-{i}") for i in range(2, n_members)))
            report = heartbeat("edge-2", pinned_flows=(pin(),))
            balancer.steering.apply_heartbeat(report, balancer.now)
            pins = balancer.steering.pinning.pins
            remote = pins.pop_announcements(balancer.now, leaves_data_centre=True)
            self.assertEqual(remote, ())
            self.assertEqual(len(pins.pop_announcements(balancer.now)), expected)
            self.assertEqual(pins.pop_announcements(balancer.now), ())


class PinTableTest(unittest.TestCase):
    """Announcements, order and limits of pins."""

    def setUp(self):
        self.pins = PinTable(FLOW_LIFE_MILLIS)

    def add(self, *pins: PinnedFlow, now: int = START_MILLIS) -> None:
        """Add pins that were made here."""
        for item in pins:
            self.pins.add(item, now, n_announcements=N_ANNOUNCEMENTS)

    def test_pin_is_announced_a_number_of_times_with_its_age(self):
        self.add(pin())
        for number in range(N_ANNOUNCEMENTS):
            [announced] = self.pins.pop_announcements(START_MILLIS + number)
            self.assertEqual(announced, pin(age=number))
        self.assertEqual(self.pins.pop_announcements(START_MILLIS), ())

    def test_each_pin_is_announced_before_any_is_repeated(self):
        n_pins = MAX_PINS_PER_MESSAGE + 5
        self.add(*(pin(port) for port in range(n_pins)))
        first = self.pins.pop_announcements(START_MILLIS)
        second = self.pins.pop_announcements(START_MILLIS)
        self.assertEqual(len(first), MAX_PINS_PER_MESSAGE)
        self.assertEqual(len({item.key for item in first + second}), n_pins)

    def test_messages_hold_all_pins(self):
        self.add(*(pin(port) for port in range(70)))
        messages = list(self.pins.messages(START_MILLIS))
        self.assertEqual([len(group) for group in messages], [32, 32, 6])

    def test_earlier_packet_wins_whatever_the_order(self):
        early, late = pin(cookie=9), pin(cookie=3, sequence=OPENING_SEQUENCE + 900)
        for order in ((early, late), (late, early)):
            self.pins = PinTable(FLOW_LIFE_MILLIS)
            self.add(*order)
            self.assertEqual(self.pins.find(following(PORT, 3)).cookie, 9)

    def test_balancers_agree_if_two_pins_have_the_same_packet(self):
        for order in ((pin(cookie=9), pin(cookie=3)), (pin(cookie=3), pin(cookie=9))):
            self.pins = PinTable(FLOW_LIFE_MILLIS)
            self.add(*order)
            self.assertEqual(self.pins.find(following(PORT, 9)).cookie, 3)

    def test_pin_of_a_later_flow_from_the_same_port_replaces_the_earlier(self):
        later = pin(cookie=3, sequence=OPENING_SEQUENCE + 2**30)
        self.add(pin(cookie=9))
        self.add(later, now=START_MILLIS + 1_000)
        self.add(pin(cookie=9, age=2_000), now=START_MILLIS + 2_000)
        self.assertEqual(self.pins.all(START_MILLIS + 1_000), (later,))

    def test_pins_expire_with_the_longest_flow(self):
        self.add(pin(age=50_000))
        self.pins.expire(START_MILLIS + FLOW_LIFE_MILLIS - 50_001)
        self.assertEqual(len(self.pins), 1)
        self.pins.expire(START_MILLIS + FLOW_LIFE_MILLIS - 50_000)
        self.assertEqual(len(self.pins), 0)
        self.assertEqual(self.pins.pop_announcements(START_MILLIS), ())
        self.add(pin(age=FLOW_LIFE_MILLIS))
        self.assertEqual(len(self.pins), 0)

    def test_oldest_pins_are_dropped_first(self):
        with patch.object(pinned_flows, "MAX_PINS", 3):
            self.add(*(pin(port) for port in range(5)))
        self.assertEqual(len(self.pins), 3)
        self.assertNotIn(opening(0).key, self.pins)
        self.assertIn(opening(4).key, self.pins)
