"""Deferral of openings, and the final answer to those that waited in vain."""

import unittest
from unittest import mock

from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.admission import Overload
from stoattray_core.steering.deferral import (
    MAX_DEFERRED,
    OPENING_MILLIS,
    DeferredOpenings,
    next_transmission_millis,
)
from stoattray_core.steering.entries import RequestKind, Route
from tests.core.steering.test_priority_levels import route
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    START_MILLIS,
    Balancer,
    configuration,
    server_entry,
)


class NextTransmissionTest(unittest.TestCase):
    """Time to the next transmission."""

    def test_only_transmissions_whose_response_is_in_time_count(self):
        """Guards against openings that wait although they can only be late."""
        boards = route(2, target_latency_millis=606)
        self.assertEqual(next_transmission_millis(boards, 0, 22.0), 200)
        self.assertIsNone(next_transmission_millis(boards, 1, 22.0))
        downloads = route(3, target_latency_millis=1_788)
        self.assertEqual(next_transmission_millis(downloads, 1, 22.0), 400)
        self.assertIsNone(next_transmission_millis(downloads, 2, 22.0))
        self.assertIsNone(next_transmission_millis(route(2), 0, 22.0))


class DeferredOpeningsTest(unittest.TestCase):
    """What is known about earlier transmissions."""

    def setUp(self):
        self.deferred = DeferredOpenings()

    def test_transmission_that_was_not_seen_may_have_opened_the_flow(self):
        """Guards against a reset of a flow that is open at another balancer."""
        now = START_MILLIS
        self.assertFalse(self.deferred.has_all_before(b"a", 1, now))
        self.deferred.note_deferred(b"a", 0, now)
        self.assertTrue(self.deferred.has_all_before(b"a", 1, now + 200))
        self.assertFalse(self.deferred.has_all_before(b"a", 2, now + 600))
        self.deferred.note_deferred(b"a", 2, now + 600)
        self.assertFalse(self.deferred.has_all_before(b"a", 1, now + 600))

    def test_forwarded_opening_is_forgotten(self):
        self.deferred.note_deferred(b"a", 0, START_MILLIS)
        self.deferred.forget(b"a")
        self.assertFalse(self.deferred.has_all_before(b"a", 1, START_MILLIS))

    def test_memory_is_bounded_and_expires(self):
        for number in range(MAX_DEFERRED + 10):
            self.deferred.note_deferred(number.to_bytes(4), 0, START_MILLIS)
        self.assertEqual(len(self.deferred), MAX_DEFERRED)
        self.deferred.expire(START_MILLIS + OPENING_MILLIS + 1)
        self.assertEqual(len(self.deferred), 0)


class AnswerTest(unittest.TestCase):
    """Answers of a balancer whose only server is busy."""

    def setUp(self):
        routes = {
            destination: Route(
                "boards",
                destination,
                (("lookup", 1),),
                RequestKind.IDEMPOTENT,
                target_latency_millis=1_000,
                timeout_millis=3_000,
                priority=priority,
            )
            for priority, destination in enumerate(
                (b"\xc6\x12\x00\x01\x00\x50", LOOKUP_DESTINATION)
            )
        }
        self.balancer = Balancer()
        self.balancer.declare(configuration(routes=routes), server_entry())
        self.balancer.steering.servers.get("i-01").n_pending_requests = 5
        self.contention = self.balancer.steering._contention
        self.cut_off = self.contention._service("lookup", self.balancer.now).cut_off

    def open(self, n_retransmissions, *, share, forecast):
        """Open a flow while the cut-off admits a share, and a share is forecast."""
        position = self.cut_off.levels.open_position
        self.cut_off.position = position if share else 1.0
        self.contention.note_offered = mock.Mock()
        self.cut_off.forecast_share = lambda *_: forecast
        return self.balancer.open(40_000, n_retransmissions=n_retransmissions)

    def test_opening_is_deferred_then_admitted(self):
        deferred = self.open(0, share=0, forecast=1.0)
        self.assertEqual(deferred.kind, ErrorKind.DEFERRED)
        self.balancer.now += 200
        self.assertNotIsInstance(self.open(1, share=1, forecast=1.0), Refused)
        self.assertEqual(self.balancer.steering.counters["level_1_deferred"], 1)

    def test_retransmission_is_answered_as_before_without_levels(self):
        """Guards against resets of services whose routes have one priority."""
        overload = Overload(
            self.balancer.steering.servers.get("i-01"), None, 1.0, 0.0, 0.0, True
        )
        placement = self.balancer.steering._openings._placement
        placement.select = mock.Mock(return_value=overload)
        self.assertEqual(self.balancer.open().kind, ErrorKind.DEFERRED)
        placement.select.return_value = overload._replace(is_deferred=False)
        refused = self.balancer.open(n_retransmissions=1)
        self.assertEqual(refused.kind, ErrorKind.NO_OWNER)

    def test_opening_whose_turn_cannot_come_is_refused_at_once(self):
        """Guards against callers that are held although nothing becomes free."""
        refused = self.open(0, share=0, forecast=0.1)
        self.assertEqual(refused.kind, ErrorKind.OVERLOADED)

    def test_deferred_opening_gets_its_answer_at_the_next_transmission(self):
        """Guards against callers that wait until they give up."""
        self.open(0, share=0, forecast=1.0)
        self.balancer.now += 200
        refused = self.open(1, share=0, forecast=0.0)
        self.assertEqual(refused.kind, ErrorKind.OVERLOADED)

    def test_opening_that_another_balancer_may_have_forwarded_is_not_reset(self):
        """Guards against a reset of a request that may run."""
        refused = self.open(1, share=0, forecast=0.0)
        self.assertEqual(refused.kind, ErrorKind.NO_OWNER)
        self.open(0, share=0, forecast=1.0)
        self.balancer.now += 600
        refused = self.open(2, share=0, forecast=0.0)
        self.assertEqual(refused.kind, ErrorKind.NO_OWNER)
