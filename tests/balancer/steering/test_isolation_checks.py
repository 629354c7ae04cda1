"""Connections that tell whether the store can be reached."""

import socket
import unittest

from stoattray_balancer.steering.isolation_checks import IsolationChecks, is_answered

HOST = "127.0.0.1"


class RecordingIsolation:
    """Records the results of checks."""

    def __init__(self):
        self.results = []

    def note_check(self, *, is_reached, started_at, now):
        self.results.append((is_reached, now - started_at))


class IsolationChecksTest(unittest.TestCase):
    """A store that accepts, refuses or does not answer."""

    def test_accepted_connection_is_an_answer(self):
        with socket.create_server((HOST, 0)) as store:
            self.assertTrue(is_answered(store.getsockname(), 0.5))

    def test_refused_connection_is_an_answer(self):
        """Guards against a store that restarts and looks like a cut."""
        with socket.create_server((HOST, 0)) as store:
            address = store.getsockname()
        self.assertTrue(is_answered(address, 0.5))

    def test_connection_that_hangs_is_none(self):
        with socket.create_server((HOST, 0), backlog=0) as store:
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                self.addCleanup(filler.close)
                filler.connect_ex(store.getsockname())
            self.assertFalse(is_answered(store.getsockname(), 0.05))

    def test_result_is_noted_with_its_time(self):
        isolation = RecordingIsolation()
        times = iter((100, 104))
        with socket.create_server((HOST, 0)) as store:
            checks = IsolationChecks(
                isolation, address=store.getsockname, clock=lambda: next(times)
            )
            checks.check()
        self.assertEqual(isolation.results, [(True, 4)])


if __name__ == "__main__":
    unittest.main()
