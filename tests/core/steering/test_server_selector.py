"""Server selection by data centre, load, warm-up and suspicion."""

import unittest
from collections import Counter
from random import Random

from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.server_selector import ServerSelector, draw_service
from stoattray_core.steering.silence_detector import SilenceDetector
from tests.steering_builders import START_MILLIS, server_row


class ServerSelectorTest(unittest.TestCase):
    """Order of preference among backend servers."""

    def setUp(self):
        self.selector = ServerSelector("luzon-a", SilenceDetector("luzon-a"), Random(1))

    def select(self, *rows, **options):
        return self.selector.select(rows, START_MILLIS, **options)

    def test_fewest_open_flows_per_slot_are_preferred(self):
        small, large = server_row("i-01"), server_row("i-02", capacity=8)
        small.n_open, large.n_open = 1, 3
        self.assertIs(self.select(small, large), large)

    def test_load_reported_by_peers_counts(self):
        quiet, busy = server_row("i-01"), server_row("i-02")
        busy.peer_load = 4
        self.assertIs(self.select(busy, quiet), quiet)

    def test_equal_servers_are_all_selected(self):
        rows = [server_row(f"i-0{number}") for number in range(1, 5)]
        chosen = Counter(self.select(*rows).name for _ in range(400))
        self.assertEqual(len(chosen), 4)
        self.assertGreater(min(chosen.values()), 60)

    def test_own_data_centre_is_preferred(self):
        local, remote = server_row("i-01"), server_row("i-02", data_centre="luzon-b")
        local.n_open = 1
        self.assertIs(self.select(local, remote), local)

    def test_remote_server_is_selected_when_the_local_one_is_busy(self):
        local, remote = server_row("i-01"), server_row("i-02", data_centre="luzon-b")
        local.n_open = 2
        self.assertIs(self.select(local, remote), remote)

    def test_draining_server_is_never_selected(self):
        draining = server_row("i-01", is_draining=True)
        busy = server_row("i-02")
        busy.n_open = 50
        self.assertIs(self.select(draining, busy), busy)
        self.assertIsNone(self.select(draining))

    def test_suspect_is_selected_only_if_all_servers_are_suspect(self):
        suspect, busy = server_row("i-01"), server_row("i-02")
        suspect.suspect_until = START_MILLIS + 1
        busy.n_open = 3
        self.assertIs(self.select(suspect, busy), busy)
        self.assertIs(self.select(suspect), suspect)

    def test_tried_servers_are_avoided_if_possible(self):
        first, second = server_row("i-01"), server_row("i-02")
        second.n_open = 9
        self.assertIs(self.select(first, second, avoid=[first]), second)
        self.assertIs(self.select(first, avoid=[first]), first)

    def test_warm_server_is_preferred_to_one_that_warms_up(self):
        cold, warm = server_row("i-01"), server_row("i-02")
        cold.warm_at = START_MILLIS + 2_000
        cold.n_open = warm.n_open = 1
        self.assertIs(self.select(cold, warm), warm)

    def test_services_are_drawn_by_weight(self):
        route = Route(
            "r", b"", (("lookup", 90), ("archive", 10)), RequestKind.IDEMPOTENT
        )
        random = Random(1)
        drawn = Counter(draw_service(route, random) for _ in range(2_000))
        self.assertAlmostEqual(drawn["archive"] / 2_000, 0.1, delta=0.03)
