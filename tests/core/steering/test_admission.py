"""Refusals of openings by expected and by measured response times."""

import unittest
from random import Random

from stoattray_core.steering.admission import (
    HALF_LIFE_MILLIS,
    INTERVAL_MILLIS,
    MAX_RECOVERY_MILLIS,
    MAX_SAMPLE_AGE_MILLIS,
    OPENING_MILLIS,
    AdmissionControl,
)
from stoattray_core.steering.entries import RequestKind, Route
from tests.steering_builders import LOOKUP_DESTINATION, START_MILLIS, server_row

TARGET_MILLIS = 250
SERVICE_MILLIS = 50.0


def route(**changes):
    """Return a route with a target latency and a timeout that allows a second try."""
    values = {
        "name": "check",
        "destination": LOOKUP_DESTINATION,
        "service_weights": (("lookup", 1),),
        "kind": RequestKind.IDEMPOTENT,
        "target_latency_millis": TARGET_MILLIS,
        "timeout_millis": OPENING_MILLIS + TARGET_MILLIS,
        **changes,
    }
    return Route(**values)


class AdmissionTest(unittest.TestCase):
    """One server with two slots."""

    def setUp(self):
        self.now = START_MILLIS
        self.admission = AdmissionControl(Random(1))
        self.server = server_row()

    def check(self, service_time=SERVICE_MILLIS, **changes):
        return self.admission.check(
            self.server, route(**changes), service_time, self.now
        )

    def respond(self, millis, waited_millis):
        """Let responses of `waited_millis` arrive every 10 ms for `millis`."""
        for _ in range(millis // 10):
            self.now += 10
            self.admission.note_response("lookup", waited_millis, self.now)
            self.check()

    def share_refused(self):
        return sum(self.check() is not None for _ in range(1_000)) / 1_000

    def test_server_without_a_queue_is_never_refused(self):
        self.server.n_pending_requests = 3
        self.respond(2_000, 10 * TARGET_MILLIS)
        self.assertEqual(self.share_refused(), 0)

    def test_expected_time_close_to_the_target_is_refused(self):
        """Guards against queues that make most of a burst late."""
        self.server.n_pending_requests = 5
        self.assertIsNone(self.check())
        self.server.n_pending_requests = 6
        overload = self.check()
        self.assertEqual(overload.expected_millis, 175)
        self.assertLess(overload.max_millis, 0.75 * TARGET_MILLIS)
        self.assertFalse(overload.is_deferred)

    def test_route_with_priority_is_admitted_longer(self):
        self.server.n_pending_requests = 9
        self.assertIsNone(self.check(has_priority=True))
        self.assertIsNotNone(self.check())

    def test_unknown_service_time_and_no_responses_admit(self):
        self.server.n_pending_requests = 100
        self.assertIsNone(self.check(service_time=None))

    def test_route_without_a_target_latency_is_admitted(self):
        self.server.n_pending_requests = 100
        self.assertIsNone(self.check(target_latency_millis=None))

    def test_slow_responses_refuse_a_growing_share(self):
        self.server.n_pending_requests = 5
        self.respond(500, TARGET_MILLIS)
        share = self.share_refused()
        self.respond(500, TARGET_MILLIS)
        self.assertGreater(share, 0.2)
        self.assertGreater(self.share_refused(), share)

    def test_fast_responses_refuse_nothing(self):
        self.server.n_pending_requests = 5
        self.respond(2_000, TARGET_MILLIS // 4)
        self.assertEqual(self.share_refused(), 0)

    def test_refusals_end_after_a_second_of_fast_responses(self):
        self.server.n_pending_requests = 5
        self.respond(3_000, 2 * TARGET_MILLIS)
        self.assertGreater(self.share_refused(), 0.9)
        self.respond(1_000, TARGET_MILLIS // 4)
        self.assertEqual(self.share_refused(), 0)

    def test_refusals_end_within_a_second_without_responses(self):
        self.server.n_pending_requests = 5
        self.respond(3_000, 2 * TARGET_MILLIS)
        self.now += MAX_SAMPLE_AGE_MILLIS + INTERVAL_MILLIS
        while self.now < START_MILLIS + 3_000 + 1_000:
            self.now += HALF_LIFE_MILLIS
            self.check()
        self.assertLess(self.share_refused(), 0.01)

    def test_load_that_peers_no_longer_report_does_not_refuse(self):
        self.server.peer_load = 20.0
        self.server.n_peer_requests = 0
        self.assertIsNone(self.check())

    def test_single_report_of_a_peer_does_not_refuse(self):
        self.server.peer_load = 0.5
        self.server.n_peer_requests = 20
        self.assertIsNone(self.check())


class RecoveryTest(unittest.TestCase):
    """The time after the start in which callers of an outage may still wait."""

    def setUp(self):
        self.admission = AdmissionControl(Random(1))
        self.admission.start(START_MILLIS)
        self.server = server_row()
        self.server.n_half_open = 4

    def check(
        self,
        now=START_MILLIS,
        *,
        is_retransmission=False,
        has_free_slots=True,
        **changes,
    ):
        return self.admission.check(
            self.server,
            route(**changes),
            None,
            now,
            is_retransmission=is_retransmission,
            has_free_slots=has_free_slots,
        )

    def test_opening_beyond_a_short_queue_is_deferred(self):
        self.assertTrue(self.check().is_deferred)
        self.server.n_half_open = 3
        self.assertIsNone(self.check())

    def test_retransmitted_opening_only_gets_a_free_slot(self):
        self.server.n_half_open = 2
        self.assertIsNone(self.check())
        self.assertTrue(self.check(is_retransmission=True).is_deferred)
        self.server.n_half_open = 1
        self.assertIsNone(self.check(is_retransmission=True))

    def test_caller_without_time_for_a_second_try_is_not_deferred(self):
        timeout = OPENING_MILLIS + TARGET_MILLIS - 1
        self.assertIsNone(self.check(timeout_millis=timeout))
        self.assertIsNone(self.check(timeout_millis=None))

    def test_deferral_lasts_until_callers_of_the_outage_have_given_up(self):
        """Guards against resets that use up their tries while servers become free."""
        timeout = OPENING_MILLIS + TARGET_MILLIS
        self.assertTrue(self.check(START_MILLIS + timeout - 1).is_deferred)
        self.assertIsNone(self.check(START_MILLIS + timeout))

    def test_long_timeout_does_not_make_deferral_last(self):
        """Guards against callers that are held for a minute after each start."""
        now = START_MILLIS + MAX_RECOVERY_MILLIS
        self.assertTrue(self.check(now - 1, timeout_millis=60_000).is_deferred)
        self.assertIsNone(self.check(now, timeout_millis=60_000))

    def test_retransmitted_opening_waits_while_the_service_has_no_free_slot(self):
        """Guards against late requests in front of those that can be in time.

        The server that looks best is often one whose load is not reported yet.
        """
        self.server.n_half_open = 0
        overload = self.check(is_retransmission=True, has_free_slots=False)
        self.assertTrue(overload.is_deferred)
        self.assertIsNone(self.check(has_free_slots=False))

    def test_balancer_that_never_started_defers_nothing(self):
        self.admission = AdmissionControl(Random(1))
        self.assertIsNone(self.check())
