"""Log lines are rate-limited and never block the process."""

import logging
import os
import unittest
from unittest import mock

from stoattray_balancer._logs import LOGGER
from stoattray_balancer.steering._line_buffer import MAX_BUFFERED_BYTES
from stoattray_balancer.steering.event_log import (
    MAX_OTHER_LINES_PER_SECOND,
    MAX_ROUTINE_LINES_PER_SECOND,
    EventLog,
)


class EventLogTest(unittest.TestCase):
    """Rate limits, full pipes and closed pipes."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.now = 1_000
        self.log = EventLog(self.writer, lambda: self.now)
        before = (LOGGER.handlers[:], LOGGER.level, LOGGER.propagate)
        self.addCleanup(self.restore, *before)
        self.log.configure("info")

    def tearDown(self):
        os.close(self.writer)

    @staticmethod
    def restore(handlers, level, propagate):
        LOGGER.handlers[:] = handlers
        LOGGER.setLevel(level)
        LOGGER.propagate = propagate

    def read(self):
        self.log.flush()
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_event_is_one_line_of_key_value_pairs(self):
        self.log("store_lost", kind="platform_unavailable", detail="status 503")
        [line] = self.read()
        self.assertIn("event=store_lost kind=platform_unavailable", line)
        self.assertIn('detail="status 503"', line)

    def test_routine_events_have_a_lower_rate_limit_than_failures(self):
        for _ in range(1_000):
            self.log("flow_opened", flow="a")
        for _ in range(1_000):
            self.log("packet_refused", kind="no_route")
        lines = self.read()
        self.assertEqual(
            sum("flow_opened" in line for line in lines), MAX_ROUTINE_LINES_PER_SECOND
        )
        n_refused = sum("packet_refused" in line for line in lines)
        self.assertEqual(n_refused, MAX_OTHER_LINES_PER_SECOND)

    def test_rate_limit_is_renewed_each_second(self):
        for _ in range(MAX_ROUTINE_LINES_PER_SECOND):
            self.log("flow_opened")
        self.assertFalse(self.log.is_enabled("flow_opened"))
        self.now += 1_000
        self.assertTrue(self.log.is_enabled("flow_opened"))

    def test_suppressed_lines_are_reported(self):
        for _ in range(MAX_ROUTINE_LINES_PER_SECOND + 7):
            self.log("flow_opened")
        self.log.note_suppressed("flow_opened")
        self.read()
        self.log._log_suppressed()
        [line] = self.read()
        self.assertIn("event=events_left_out kind=flow_opened n_events=8", line)

    def test_full_pipe_drops_lines_without_blocking(self):
        for second in range(2_000):
            self.now = second * 1_000
            self.log("packet_refused", detail="x" * 400)
            if second % 50 == 0:
                self.log.flush()
        self.log.flush()
        self.assertLess(len(self.log._lines), MAX_BUFFERED_BYTES + 1_000)
        self.assertGreater(self.log._n_suppressed["unread"], 0)

    def test_closed_pipe_is_ignored(self):
        reader, writer = os.pipe()
        os.close(reader)
        log = EventLog(writer, lambda: self.now)
        log.configure("info")
        log("started")
        log.flush()
        os.close(writer)
        self.assertEqual(log.n_bytes_written, 0)

    def test_log_level_is_applied(self):
        self.log.configure("error")
        self.log.flush()
        self.assertFalse(LOGGER.isEnabledFor(logging.INFO))
        self.log("started")
        self.log.configure("info")
        self.assertTrue(LOGGER.isEnabledFor(logging.INFO))
        self.log("stopped")
        lines = self.read()
        self.assertEqual(len(lines), 1)
        self.assertIn("event=stopped", lines[0])

    def test_events_before_the_first_write_keep_their_time(self):
        """Guards against starts that seem later than they were."""
        with mock.patch("time.time", return_value=86_400.25):
            self.log("started", member="edge-1")
        [line] = self.read()
        self.assertTrue(line.startswith("time=1970-01-02T00:00:00.250Z level=info "))
        self.assertIn("event=started member=edge-1", line)
