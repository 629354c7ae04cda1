"""Reading the store through its refusals, and the own record in it."""

import unittest
from random import Random

from stoattray_balancer.steering.store_reader import (
    BATCH_SECONDS,
    Registration,
    StoreReader,
)
from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.replica import Difference
from tests.steering_builders import Balancer, configuration, server_entry

UNAVAILABLE = Refused(ErrorKind.PLATFORM_UNAVAILABLE, "status 503")


class ScriptedStore:
    """Answers calls from lists that a test fills."""

    def __init__(self):
        self.calls = []
        self.answers = {}

    def __getattr__(self, operation):
        def call(*arguments):
            self.calls.append((operation, *arguments))
            return self.answers[operation].pop(0)

        return call


class StoreReaderTest(unittest.TestCase):
    """One call at a time."""

    def setUp(self):
        self.balancer = Balancer()
        self.store = ScriptedStore()
        self.reader = StoreReader(
            self.balancer.steering,
            self.store,
            clock=lambda: self.balancer.now,
            random=Random(1),
            on_event=self.balancer.recorder,
        )

    def answer(self, **answers):
        self.store.answers = {name: list(value) for name, value in answers.items()}

    def first_read(self):
        record = self.balancer.decoder.record("configuration", 4, configuration())
        self.answer(read_all=[Difference(9, [record], True)])
        return self.reader._read_once()

    def test_reads_all_first_then_watches_from_that_revision(self):
        self.first_read()
        self.answer(watch=[Difference(9, [], False)])
        self.assertEqual(self.reader._read_once(), 0.0)
        self.assertEqual(self.store.calls[-1][:2], ("watch", 9))

    def test_changes_are_gathered_before_the_next_watch(self):
        self.first_read()
        record = self.balancer.decoder.record("servers/i-01", 10, server_entry())
        self.answer(watch=[Difference(10, [record], False)])
        self.assertEqual(self.reader._read_once(), BATCH_SECONDS)
        self.assertEqual(len(self.balancer.steering.servers), 1)

    def test_lost_history_is_read_anew_and_nothing_goes_back(self):
        self.first_read()
        gone = Refused(ErrorKind.HISTORY_GONE, "status 410")
        self.answer(watch=[gone], read_all=[Difference(3, [], True)])
        self.assertEqual(self.reader._read_once(), 0.0)
        self.reader._read_once()
        self.assertEqual(self.store.calls[-1], ("read_all",))
        self.assertIsNotNone(self.balancer.steering.configuration)
        self.assertEqual(self.balancer.steering.replica.revision, 9)

    def test_refusals_are_backed_off_and_told_once(self):
        self.first_read()
        self.answer(watch=[UNAVAILABLE] * 3)
        waits = [self.reader._read_once() for _ in range(3)]
        self.assertTrue(all(wait > 0 for wait in waits))
        self.assertEqual(self.balancer.recorder.names().count("store_lost"), 1)
        self.assertFalse(self.reader.is_reading)

    def test_return_of_the_store_is_told(self):
        self.first_read()
        self.answer(watch=[UNAVAILABLE, Difference(9, [], False)])
        self.reader._read_once()
        self.reader._read_once()
        self.assertIn("store_back", self.balancer.recorder.names())
        self.assertEqual(
            self.balancer.steering.store_health.return_age(self.balancer.now), 0
        )


class RegistrationTest(unittest.TestCase):
    """The own record under a lease that may be revoked at any moment."""

    def setUp(self):
        self.store = ScriptedStore()
        self.recorder = Balancer().recorder
        self.registration = Registration(
            self.store,
            "edge-1",
            b"me",
            min_lease=1_000,
            random=Random(1),
            on_event=self.recorder,
        )

    def step(self, **answers):
        self.store.answers = {name: [value] for name, value in answers.items()}
        return self.registration._register_or_renew()

    def test_registers_then_renews(self):
        self.assertIsNone(self.step(grant_lease=7, put_member=None))
        self.assertIsNone(self.step(renew_lease=None))
        self.assertEqual(self.store.calls[-1], ("renew_lease", 7))

    def test_revoked_lease_is_replaced_at_once(self):
        self.step(grant_lease=7, put_member=None)
        ended = Refused(ErrorKind.NOT_FOUND)
        self.step(renew_lease=ended, grant_lease=8, put_member=None)
        self.assertEqual(self.store.calls[-1], ("put_member", "edge-1", b"me", 8))
        self.assertIn("lease_ended", self.recorder.names())

    def test_refused_renewal_keeps_the_lease(self):
        self.step(grant_lease=7, put_member=None)
        self.assertIs(self.step(renew_lease=UNAVAILABLE), UNAVAILABLE)
        self.assertIsNone(self.step(renew_lease=None))

    def test_record_that_was_not_written_is_written_later(self):
        self.assertIs(self.step(grant_lease=7, put_member=UNAVAILABLE), UNAVAILABLE)
        self.assertIsNone(self.step(grant_lease=8, put_member=None))

    def test_leaving_ends_the_lease(self):
        self.step(grant_lease=7, put_member=None)
        self.store.answers = {"revoke_lease": [None]}
        self.registration.deregister()
        self.assertEqual(self.store.calls[-1], ("revoke_lease", 7))
