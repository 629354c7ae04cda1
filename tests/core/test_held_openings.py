"""An opening packet that was held too long is dropped instead of placed."""

import unittest

from stoattray_core._shard_ownership import HeldPacket
from tests.builders import LOOKUP, build_network, lookup, opening_packet


class HeldOpeningTest(unittest.TestCase):
    """The caller may have opened the flow with a repeated packet (soak seed 9)."""

    def setUp(self):
        self.network = build_network(1, lookup())
        self.core = self.network.cores["b1"]
        self.ownership = self.core._ownership

    def release(self, wait, is_opening):
        packet = HeldPacket(opening_packet(), 0, None, is_opening, self.network.now)
        self.ownership.hold_packet(0, packet)
        self.core._state.now += wait
        return self.ownership.take_released_packets()

    def test_waiting_for_an_owner(self):
        self.assertEqual(len(self.release(50, is_opening=True)), 1)
        self.assertEqual(self.release(500, is_opening=True), [])
        self.assertEqual(len(self.release(500, is_opening=False)), 1)
        self.assertEqual(self.core.counters["held_too_long"], 1)

    def test_waiting_for_a_bucket(self):
        service = self.core.tables.services["tanglaw/lookup"]
        shard = next(
            index
            for index, row in enumerate(self.core.tables.shards)
            if row.owner == "b1"
        )
        placer = self.core._flow_placer
        move = placer.bucket_writer.begin_move(service, shard, is_planned=False)
        placer._hold_opening(move, opening_packet(destination=LOOKUP))
        self.core._state.now += 500
        placer.release_held_openings(service, shard, move)
        self.assertEqual(self.core.counters["held_too_long"], 1)
        self.assertEqual(move.records, {})
