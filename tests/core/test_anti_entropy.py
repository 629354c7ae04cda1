"""Differences that remain after lost announcements are repaired by digests."""

import unittest

from stoattray_core._bucket_table import apply_claims
from stoattray_core.messages import BucketUpdate, Compare, Done, ShardState
from stoattray_core.outputs import Send
from tests.builders import build_network, lookup


class RepairTest(unittest.TestCase):
    """A balancer that lacks a claim or bucket receives it again."""

    def test_missing_owner_and_bucket_are_restored(self):
        network = build_network(1, lookup())
        core = network.cores["b2"]
        shard = next(
            index for index, row in enumerate(core.tables.shards) if row.owner == "b3"
        )
        core.tables.shards[shard].owner = None
        row = core.tables.services["tanglaw/lookup"]
        row.buckets[shard] = None
        row.fast_path_addresses[shard] = None
        core._state.mark_shard_changed(shard)
        network.run(10_000)
        self.assertEqual(core.tables.shards[shard].owner, "b3")
        bucket = row.buckets[shard]
        other = network.cores["b3"].tables.services["tanglaw/lookup"].buckets[shard]
        self.assertEqual(bucket.precedence, other.precedence)

    def test_no_comparison_without_differences(self):
        network = build_network(2, lookup())
        compared = []
        network.measure_message = lambda message: compared.append(type(message)) or 0
        network.run(5_000)
        self.assertNotIn(Compare, compared)
        self.assertNotIn(BucketUpdate, compared)


class RefusedClaimTest(unittest.TestCase):
    """A refused claim does not block the other claims of an announcement."""

    def test_later_claim_is_returned_and_others_are_applied(self):
        network = build_network(3, lookup())
        core = network.cores["b2"]
        later, earlier = 7, 8
        apply_claims(core._state, [ShardState(later, 90, "b5")])
        core.take_outputs()
        claims = [ShardState(later, 50, "b3"), ShardState(earlier, 50, "b3")]
        core.on_message(BucketUpdate(1, claims, [], []), "b3", ("b3", 7000))
        done = next(
            output.message
            for output in core.take_outputs()
            if isinstance(output, Send) and isinstance(output.message, Done)
        )
        self.assertTrue(done.accepted)
        self.assertEqual(done.shards, [ShardState(later, 90, "b5")])
        self.assertEqual(core.tables.shards[earlier].owner, "b3")
