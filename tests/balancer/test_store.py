"""The store client against the platform stand-in, with and without faults."""

import unittest

from stoattray_balancer._store import Precondition, Put, Store, StoredEntry
from stoattray_balancer.settings import PlatformSettings
from stoattray_core import ErrorKind
from stoattray_standin.local_system import local_system


class StoreTest(unittest.TestCase):
    """Every outcome of a write, reads by revision, and watches."""

    def setUp(self):
        self.system = self.enterContext(local_system())
        self.system.start_platform()
        self.store = self.new_store()

    def new_store(self, **changes):
        url = self.system.platform_url
        return Store(PlatformSettings(url=url, timeout_seconds=0.5, **changes))

    def write(self, key, value, revision, change_id="c"):
        return self.store.write(
            [Precondition(key, revision)], [Put(key, value)], change_id
        )

    def test_write_read_delete(self):
        first = self.write("services/a/b", "one", 0)
        second = self.write("services/a/b", None, first)
        self.assertGreater(second, first)
        changes = self.store.read(0)
        self.assertEqual(changes.revision, second)
        self.assertIsNone(changes.entries[0].value)
        self.assertEqual(self.store.read(second).entries, [])

    def test_conflict(self):
        self.write("k", "one", 0)
        self.assertEqual(self.write("k", "two", 0).kind, ErrorKind.CONFLICT)
        self.assertEqual(self.store.get("k").value, "one")

    def test_multi_key_write_is_atomic(self):
        self.write("taken", "x", 0)
        conditions = [Precondition("free", 0), Precondition("taken", 0)]
        result = self.store.write(conditions, [Put("free", "y")], "c")
        self.assertEqual(result.kind, ErrorKind.CONFLICT)
        self.assertIsNone(self.store.get("free"))

    def test_lost_answer_of_an_applied_write(self):
        revision = self.write("k", "one", 0)
        self.system.set_faults(lost_answer=0.5)
        written_revision = None
        for attempt in range(6):
            result = self.write("k", f"value {attempt}", revision, f"change {attempt}")
            if isinstance(result, int):
                written_revision = result
                break
            self.assertEqual(result.kind, ErrorKind.OUTCOME_UNKNOWN)
            self.system.set_faults()
            current = self.store.get("k")
            self.assertIsInstance(current, StoredEntry)
            revision = current.revision
            self.system.set_faults(lost_answer=0.5)
        self.system.set_faults()
        if written_revision is not None:
            self.assertEqual(self.store.get("k").revision, written_revision)

    def test_all_answers_lost_is_outcome_unknown(self):
        self.system.set_faults(lost_answer=1.0)
        result = self.write("k", "one", 0)
        self.assertEqual(result.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.system.set_faults()
        self.assertEqual(self.store.get("k").change_id, "c")

    def test_refused_call_is_not_applied(self):
        self.system.set_faults(refused=1.0)
        self.assertEqual(self.write("k", "x", 0).kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.system.set_faults()
        self.assertIsNone(self.store.get("k"))

    def test_connection_refused(self):
        store = Store(PlatformSettings(url="http://127.0.0.1:9", timeout_seconds=0.5))
        self.assertEqual(store.read(0).kind, ErrorKind.PLATFORM_UNAVAILABLE)

    def test_call_limit(self):
        store = self.new_store(max_calls_per_second=1.0)
        store.read(0)
        self.assertEqual(store.read(0).kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.assertEqual(store.n_calls, 1)

    def test_watch_reports_a_change(self):
        watch = self.store.watch(0)
        next(watch)
        self.write("k", "one", 0)
        next(watch)
        watch.close()
