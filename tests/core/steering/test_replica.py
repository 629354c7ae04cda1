"""The replica of the store never goes back, whatever the sender or order of updates."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from stoattray_core.steering import replica as replica_module
from stoattray_core.steering.replica import Difference, Record, Replica, Version


def difference(revision, *records, is_snapshot=False):
    """Return a difference that is complete up to `revision`."""
    return Difference(revision, list(records), is_snapshot)


class ReplicaTest(unittest.TestCase):
    """Merging of differences and snapshots, and differences for peers."""

    def setUp(self):
        self.replica = Replica()

    def test_newer_record_replaces_older(self):
        self.replica.merge(difference(1, Record("k", 1, b"old")))
        changed = self.replica.merge(difference(2, Record("k", 2, b"new")))
        self.assertEqual(changed, [Record("k", 2, b"new")])
        self.assertEqual(self.replica.revision, 2)

    def test_peer_from_before_a_snapshot_gets_all_records(self):
        """Guards against deletions that a peer never hears of.

        A snapshot holds no deletions, so a difference after an earlier revision would
        lack those of keys that this replica never held.
        """
        peer = Replica()
        peer.merge(difference(5, Record("k", 5, b"x"), is_snapshot=True))
        self.replica.merge(difference(6, is_snapshot=True))
        sent = self.replica.changes_since(peer.version)
        changed = peer.merge(sent)
        self.assertEqual(changed, [Record("k", 6, None)])
        self.assertEqual(peer.version, self.replica.version)

    def test_peer_at_the_revision_of_a_snapshot_gets_only_later_changes(self):
        """Guards against snapshots in place of small differences."""
        self.replica.merge(difference(6, Record("k", 2, b"x"), is_snapshot=True))
        self.replica.merge(difference(6, Record("k", 2, b"x"), is_snapshot=True))
        self.replica.merge(difference(7, Record("k", 7, b"y")))
        sent = self.replica.changes_since(Version(0, 6))
        self.assertEqual(sent, difference(7, Record("k", 7, b"y")))

    def test_older_record_is_ignored(self):
        self.replica.merge(difference(5, Record("k", 5, b"new")))
        self.assertEqual(self.replica.merge(difference(3, Record("k", 3, b"old"))), [])
        self.assertEqual(self.replica.get("k").value, b"new")
        self.assertEqual(self.replica.revision, 5)

    def test_older_snapshot_does_not_restore_a_deleted_record(self):
        self.replica.merge(difference(5, Record("k", 5, b"x")))
        self.replica.merge(difference(6, Record("k", 6, None)))
        self.replica.merge(difference(5, Record("k", 5, b"x"), is_snapshot=True))
        self.assertIsNone(self.replica.get("k"))

    def test_older_snapshot_does_not_restore_a_record_that_was_never_held(self):
        """Guards against a removed server that a slow answer of the store restores."""
        self.replica.merge(difference(9, Record("j", 9, b"x"), is_snapshot=True))
        late = difference(8, Record("k", 5, b"removed at 9"), is_snapshot=True)
        self.assertEqual(self.replica.merge(late), [])
        self.assertIsNone(self.replica.get("k"))

    def test_snapshot_deletes_missing_records(self):
        self.replica.merge(difference(2, Record("a", 1, b""), Record("b", 2, b"")))
        changed = self.replica.merge(
            difference(9, Record("a", 1, b""), is_snapshot=True)
        )
        self.assertEqual(changed, [Record("b", 9, None)])

    def test_snapshot_keeps_newer_records(self):
        self.replica.merge(difference(9, Record("new", 9, b"")))
        changed = self.replica.merge(difference(5, is_snapshot=True))
        self.assertEqual(changed, [])
        self.assertIsNotNone(self.replica.get("new"))

    def test_difference_includes_deletions(self):
        self.replica.merge(difference(2, Record("a", 1, b""), Record("b", 2, b"")))
        self.replica.merge(difference(3, Record("a", 3, None)))
        changes = self.replica.changes_since(Version(0, 2))
        self.assertEqual(changes.records, [Record("a", 3, None)])
        self.assertFalse(changes.is_snapshot)

    def test_deletions_before_a_snapshot_reach_a_peer_that_is_behind(self):
        """Guards against records that stay forever after a peer's restart."""
        behind = Replica()
        behind.merge(difference(2, Record("a", 1, b""), Record("b", 2, b"")))
        self.replica.merge(difference(4, Record("b", 2, b""), is_snapshot=True))
        behind.merge(self.replica.changes_since(behind.version))
        self.assertEqual(behind.version, self.replica.version)
        self.assertIsNone(behind.get("a"))

    def test_evicted_tombstones_make_the_difference_a_snapshot(self):
        limit = replica_module.MAX_TOMBSTONES
        for revision in range(1, limit + 3):
            self.replica.merge(
                difference(revision, Record(f"k{revision}", revision, None))
            )
        self.assertTrue(self.replica.changes_since(Version(0, 1)).is_snapshot)
        self.assertFalse(self.replica.changes_since(Version(0, limit)).is_snapshot)

    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=30
        ),
        st.randoms(use_true_random=False),
    )
    def test_peers_converge_by_differences(self, writes, random):
        first, second = Replica(), Replica()
        for revision, (key, is_deleted) in enumerate(writes, start=1):
            value = None if is_deleted else str(revision).encode()
            record = Record(key, revision, value)
            first.merge(difference(revision, record))
            if random.random() < 0.3:
                second.merge(first.changes_since(second.version))
        second.merge(first.changes_since(second.version))
        self.assertEqual(second.revision, first.revision)
        for key in "abc":
            self.assertEqual(second.get(key), first.get(key))
