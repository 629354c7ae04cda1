"""Levels of a service and the cut-off between them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.priority_levels import (
    BAND_GAP,
    LOWER_LEVELS_SHARE,
    OPEN_MARGIN,
    CutOff,
    LowerLevelCredits,
    ServiceLevels,
    find_service_levels,
)
from tests.steering_builders import configuration

POSITIONS = st.floats(0.0, 4.0)


def route(priority, service="lookup", port=1, **changes):
    """Return a route of a priority."""
    destination = b"\xc6\x12\x00\x01" + port.to_bytes(2)
    return Route(
        f"route-{port}",
        destination,
        ((service, 1),),
        RequestKind.IDEMPOTENT,
        priority=priority,
        **changes,
    )


class ServiceLevelsTest(unittest.TestCase):
    """Admitted shares at the positions of a cut-off."""

    def setUp(self):
        self.levels = ServiceLevels([route(7), route(1), route(3), route(1)])

    def test_levels_are_those_configured_highest_first(self):
        self.assertEqual(self.levels.levels, (1, 3, 7))

    def test_open_position_admits_every_level(self):
        position = self.levels.open_position
        shares = [self.levels.admitted_share(position, level) for level in (1, 3, 7)]
        self.assertEqual(shares, [1.0, 1.0, 1.0])

    @given(POSITIONS, st.floats(0.0, BAND_GAP * 0.99))
    def test_balancers_that_nearly_agree_keep_the_order(self, position, difference):
        """Guards against a lower level admitted where a higher one is refused."""
        for higher, lower in ((1, 3), (3, 7)):
            if self.levels.admitted_share(position, higher) < 1.0:
                other = position + difference
                self.assertEqual(self.levels.admitted_share(other, lower), 0.0)

    @given(POSITIONS)
    def test_cut_off_on_the_wire_admits_the_same_shares(self, position):
        """Guards against a balancer that reads another cut-off than was sent."""
        received = self.levels.position(self.levels.cut_off(position))
        for level in self.levels.levels:
            self.assertAlmostEqual(
                self.levels.admitted_share(received, level),
                self.levels.admitted_share(position, level),
                delta=OPEN_MARGIN,
            )

    def test_cut_off_of_another_configuration_admits_the_higher_levels(self):
        """Guards against an error when a peer has a newer configuration."""
        position = self.levels.position(CutOff(2, 0.5))
        self.assertEqual(self.levels.admitted_share(position, 1), 1.0)
        self.assertEqual(self.levels.admitted_share(position, 3), 0.0)
        highest = self.levels.position(CutOff(0, 0.5))
        self.assertGreater(self.levels.admitted_share(highest, 1), 0.0)

    def test_target_of_a_level_is_its_shortest(self):
        levels = ServiceLevels(
            [
                route(1, target_latency_millis=300),
                route(1, target_latency_millis=200),
                route(2),
            ]
        )
        self.assertEqual(levels.target_millis(1), 200)
        self.assertIsNone(levels.target_millis(2))


class FindServiceLevelsTest(unittest.TestCase):
    """Services to which levels apply."""

    def test_only_services_with_two_priorities(self):
        """Guards against a changed treatment of services without levels."""
        routes = [
            route(1, "moves", 1),
            route(2, "moves", 2),
            route(1, "files", 3),
            route(1, "files", 4),
        ]
        found = find_service_levels(
            configuration(routes={item.destination: item for item in routes})
        )
        self.assertEqual(list(found), ["moves"])


class LowerLevelCreditsTest(unittest.TestCase):
    """Bounded share of the levels below the cut-off."""

    def test_lower_levels_are_neither_starved_nor_above_their_share(self):
        levels = ServiceLevels([route(0), route(1), route(2)])
        credits = LowerLevelCredits()
        n_admitted = 0
        for _ in range(2_000):
            credits.note_admitted(levels, 0)
            for level in (1, 2):
                n_admitted += sum(credits.spend(level) for _ in range(20))
        self.assertAlmostEqual(n_admitted / 2_000, LOWER_LEVELS_SHARE, delta=0.002)

    def test_unused_credit_does_not_add_up(self):
        """Guards against a burst of a lower level after a quiet time."""
        levels = ServiceLevels([route(0), route(1)])
        credits = LowerLevelCredits()
        for _ in range(10_000):
            credits.note_admitted(levels, 0)
        self.assertEqual(sum(credits.spend(1) for _ in range(100)), 1)
