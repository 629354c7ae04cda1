"""A process of a release without evacuations beside newer ones.

Evacuations change no message: their records are part of the replica, which every
release passes on.
"""

import unittest

from stoattray_core.steering.entries import Evacuation
from stoattray_core.steering.replica import Version
from tests.steering_builders import (
    Balancer,
    EntryDecoder,
    configuration,
    heartbeat,
    server_entry,
)

NEAR, FAR = "luzon-a", "luzon-b"
NEAR_KEY = f"evacuations/{NEAR}"


class OldDecoder(EntryDecoder):
    """Decoder of a release without evacuations."""

    def decode(self, record):
        """Return the entry of a record, or None for keys that are not known."""
        is_unknown = record.key.startswith("evacuations/")
        return None if is_unknown else super().decode(record)

    def evacuated_data_centre(self, key):
        """Return None, as this release has no such keys."""
        return


class OldProcessTest(unittest.TestCase):
    """What the older process does, and what newer ones learn through it."""

    def setUp(self):
        self.old = Balancer("edge-1", decoder=OldDecoder())
        self.old.declare(
            configuration(),
            server_entry("i-01"),
            server_entry("i-11", data_centre=FAR),
        )

    def new_process(self):
        """Return a newer process that takes its first copy from the old one."""
        balancer = Balancer("edge-2", decoder=EntryDecoder())
        balancer.decoder._entries = self.old.decoder._entries
        replica = self.old.steering.replica
        snapshot = replica.changes_since(Version(0, 0))
        report = heartbeat("edge-1", revision=replica.revision)
        balancer.steering.apply_peer_response(report, snapshot, balancer.now)
        return balancer

    def test_old_process_ignores_the_record_and_nothing_else(self):
        """Guards against a record that stops an older process from working."""
        self.old.declare(Evacuation(NEAR))
        self.assertEqual(self.old.open(1).entry.data_centre, NEAR)
        self.assertEqual(self.old.steering.cluster_state.n_malformed, 0)
        self.old.declare(server_entry("i-01", is_draining=True))
        self.assertEqual(self.old.open(2).entry.data_centre, FAR)
        self.old.remove_key(NEAR_KEY)
        self.assertEqual(self.old.steering.replica.revision, 6)

    def test_new_process_learns_begin_and_end_from_an_old_one(self):
        """Guards against a bound that old processes in between break."""
        self.old.declare(Evacuation(NEAR))
        new = self.new_process()
        self.assertEqual(new.open(1).entry.data_centre, FAR)
        version = new.steering.replica.version
        self.old.remove_key(NEAR_KEY)
        difference = self.old.steering.replica.changes_since(version)
        report = heartbeat("edge-1", revision=difference.revision)
        new.steering.apply_peer_response(report, difference, new.now)
        self.assertEqual(new.steering.replica.version, difference.version)
        self.assertEqual(new.open(2).entry.data_centre, NEAR)
