"""Reading the store despite refusals, and registering a balancer."""

import os
import unittest
from random import Random

from stoattray_balancer.steering.early_request import EarlyRequest
from stoattray_balancer.steering.store_reader import (
    BATCH_SECONDS,
    CALLS_PER_REGISTRATION,
    Registration,
    StoreReader,
)
from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.replica import Difference
from tests.steering_builders import Balancer, configuration, server_entry

UNAVAILABLE = Refused(ErrorKind.PLATFORM_UNAVAILABLE, "status 503")


class ScriptedStore:
    """Returns the responses that a test lists for each method."""

    def __init__(self):
        self.calls = []
        self.responses = {}

    def __getattr__(self, operation):
        def call(*arguments):
            self.calls.append((operation, *arguments))
            return self.responses[operation].pop(0)

        return call


class StoreReaderTest(unittest.TestCase):
    """Single calls of the reader."""

    def setUp(self):
        self.balancer = Balancer()
        self.store = ScriptedStore()
        self.reader = self.reader_with(None)

    def reader_with(self, early_request):
        return StoreReader(
            self.balancer.steering,
            self.store,
            clock=lambda: self.balancer.now,
            random=Random(1),
            on_event=self.balancer.recorder,
            early_request=early_request,
        )

    def respond(self, **responses):
        self.store.responses = {name: list(value) for name, value in responses.items()}

    def first_read(self):
        record = self.balancer.decoder.record("configuration", 4, configuration())
        self.respond(read_all=[Difference(9, [record], True)])
        return self.reader._read_once()

    def test_reads_all_first_then_watches_from_that_revision(self):
        self.first_read()
        self.respond(watch=[Difference(9, [], False)])
        self.assertEqual(self.reader._read_once(), 0.0)
        self.assertEqual(self.store.calls[-1][:2], ("watch", 9))

    def test_pause_after_changes_batches_the_next_ones(self):
        self.first_read()
        record = self.balancer.decoder.record("servers/i-01", 10, server_entry())
        self.respond(watch=[Difference(10, [record], False)])
        self.assertEqual(self.reader._read_once(), BATCH_SECONDS)
        self.assertEqual(len(self.balancer.steering.servers), 1)

    def test_compacted_history_rereads_all_without_regressing(self):
        self.first_read()
        gone = Refused(ErrorKind.HISTORY_GONE, "status 410")
        self.respond(watch=[gone], read_all=[Difference(3, [], True)])
        self.assertEqual(self.reader._read_once(), 0.0)
        self.reader._read_once()
        self.assertEqual(self.store.calls[-1], ("read_all",))
        self.assertIsNotNone(self.balancer.steering.configuration)
        self.assertEqual(self.balancer.steering.replica.revision, 9)

    def test_refusals_back_off_and_are_logged_once(self):
        self.first_read()
        self.respond(watch=[UNAVAILABLE] * 3)
        waits = [self.reader._read_once() for _ in range(3)]
        self.assertTrue(all(wait > 0 for wait in waits))
        self.assertEqual(self.balancer.recorder.names().count("store_lost"), 1)
        self.assertFalse(self.reader.is_reading)

    def confirmed_ages(self, watch_millis, runs_every_millis):
        """Return the age for drains and the one for ownership after a watch."""
        self.first_read()
        steering = self.balancer.steering
        steering.detect_pause(self.balancer.now)

        def watch(revision, wait_ms):
            for _ in range(watch_millis // runs_every_millis):
                self.balancer.now += runs_every_millis
                steering.detect_pause(self.balancer.now)
            self.balancer.now += watch_millis % runs_every_millis
            return Difference(9, [], False)

        self.store.watch = watch
        self.reader._read_once()
        now = self.balancer.now
        return steering.confirmed_age(now), steering.warm_up.confirmation.age(now)

    def test_answer_to_a_watch_confirms_ownership_as_of_its_arrival(self):
        """Guards against readers that own no server for most of the time."""
        self.assertEqual(self.confirmed_ages(1_010, 50), (0, 0))

    def test_late_answer_confirms_ownership_as_of_the_start(self):
        """Guards against an owner that trusts an answer from a slow connection."""
        self.assertEqual(self.confirmed_ages(1_300, 50), (0, 1_300))

    def test_answer_that_waited_in_a_pause_confirms_as_of_the_start(self):
        """Guards against an owner that wakes up and trusts an old answer."""
        self.assertEqual(self.confirmed_ages(900, 901), (0, 900))

    def test_snapshot_confirms_ownership_as_of_its_request(self):
        """Guards against pages that were read long after the first one."""
        record = self.balancer.decoder.record("configuration", 4, configuration())

        def read_all():
            self.balancer.now += 700
            return Difference(9, [record], True)

        self.store.read_all = read_all
        self.reader._read_once()
        age = self.balancer.steering.warm_up.confirmation.age(self.balancer.now)
        self.assertEqual(age, 700)

    def test_early_request_confirms_as_of_its_sending(self):
        """Guards against records that count as read when the imports were done."""
        steering = self.balancer.steering
        early = EarlyRequest(-1, self.balancer.now - 150)
        self.reader = self.reader_with(early)
        record = self.balancer.decoder.record("configuration", 4, configuration())
        self.respond(adopt=[None], read_all=[Difference(9, [record], True)])
        self.reader._read_once()
        self.assertEqual(self.store.calls, [("adopt", early), ("read_all",)])
        self.assertEqual(steering.confirmed_age(self.balancer.now), 150)
        self.respond(watch=[Difference(9, [], False)])
        self.reader._read_once()
        self.assertEqual(self.store.calls[-1][0], "watch")

    def test_early_request_that_is_not_needed_is_closed(self):
        """Guards against an answer that stays in memory until the process ends."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, writing)
        self.first_read()
        self.reader = self.reader_with(EarlyRequest(reading, self.balancer.now))
        self.respond(watch=[Difference(9, [], False)])
        self.reader._read_once()
        self.assertEqual(self.store.calls[-1][0], "watch")
        with self.assertRaises(OSError):
            os.fstat(reading)

    def test_recovery_of_the_store_is_logged(self):
        self.first_read()
        self.respond(watch=[UNAVAILABLE, Difference(9, [], False)])
        self.reader._read_once()
        self.reader._read_once()
        self.assertIn("store_back", self.balancer.recorder.names())
        self.assertEqual(
            self.balancer.steering.store_health.recovery_age(self.balancer.now), 0
        )


class RegistrationTest(unittest.TestCase):
    """A balancer's record under a lease that the store may revoke at any time."""

    def setUp(self):
        self.store = ScriptedStore()
        self.recorder = Balancer().recorder
        self.era = 0
        self.registration = Registration(
            self.store,
            "edge-1",
            b"me",
            min_lease=1_000,
            calls_per_second=2_000.0,
            n_members=lambda: 4,
            era=lambda: self.era,
            random=Random(1),
            on_event=self.recorder,
        )

    def step(self, **responses):
        self.store.responses = {name: [value] for name, value in responses.items()}
        return self.registration._register_or_renew()

    def test_registers_then_renews(self):
        self.assertIsNone(self.step(grant_lease=7, put_member=None))
        self.assertIsNone(self.step(renew_lease=None))
        self.assertEqual(self.store.calls[-1], ("renew_lease", 7))

    def test_revoked_lease_is_replaced_immediately(self):
        self.step(grant_lease=7, put_member=None)
        ended = Refused(ErrorKind.NOT_FOUND)
        self.step(renew_lease=ended, grant_lease=8, put_member=None)
        self.assertEqual(self.store.calls[-1], ("put_member", "edge-1", b"me", 8))
        self.assertIn("lease_ended", self.recorder.names())

    def test_refused_renewal_keeps_the_lease(self):
        self.step(grant_lease=7, put_member=None)
        self.assertIs(self.step(renew_lease=UNAVAILABLE), UNAVAILABLE)
        self.assertIsNone(self.step(renew_lease=None))

    def test_failed_write_of_the_record_is_retried(self):
        self.assertIs(self.step(grant_lease=7, put_member=UNAVAILABLE), UNAVAILABLE)
        self.assertIsNone(self.step(grant_lease=8, put_member=None))

    def test_record_is_written_again_after_the_store_returned_from_a_copy(self):
        self.step(grant_lease=7, put_member=None)
        self.era = 1
        self.assertIsNone(self.step(renew_lease=None, put_member=None))
        self.assertEqual(self.store.calls[-1], ("put_member", "edge-1", b"me", 7))
        self.assertIsNone(self.step(renew_lease=None))

    def test_lease_that_the_copy_lacks_is_replaced(self):
        self.step(grant_lease=7, put_member=None)
        self.era = 1
        ended = Refused(ErrorKind.NOT_FOUND)
        self.step(renew_lease=ended, grant_lease=8, put_member=None)
        self.assertEqual(self.store.calls[-1], ("put_member", "edge-1", b"me", 8))
        self.assertIsNone(self.step(renew_lease=None))

    def test_write_answered_before_the_return_is_repeated(self):
        def put_member(*_):
            self.era = 1

        self.store.put_member = put_member
        self.step(grant_lease=7)
        self.assertTrue(self.registration._may_be_lost())

    def test_78_balancers_write_again_within_the_rate_limit(self):
        n_members = 78
        self.registration._n_members = lambda: n_members
        pauses = [self.registration._restored_pause() for _ in range(n_members)]
        for start in range(int(max(pauses)) + 1):
            n_calls = CALLS_PER_REGISTRATION * sum(
                start <= pause < start + 1 for pause in pauses
            )
            self.assertLess(n_calls, 400)
        self.assertGreater(max(pauses), 1.0)

    def test_deregistering_revokes_the_lease(self):
        self.step(grant_lease=7, put_member=None)
        self.store.responses = {"revoke_lease": [None]}
        self.registration.deregister(self.store)
        self.assertEqual(self.store.calls[-1], ("revoke_lease", 7))
