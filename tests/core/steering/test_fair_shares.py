"""Fair shares by caller address."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from stoattray_core.steering.fair_shares import (
    HALF_LIFE_MILLIS,
    MAX_ADDRESSES,
    FairShares,
    find_limit,
)
from tests.steering_builders import START_MILLIS

COUNTS = st.lists(st.floats(0.25, 1_000.0), min_size=1, max_size=50)


class FindLimitTest(unittest.TestCase):
    """Limit that is common to all addresses."""

    @given(COUNTS, st.floats(0.01, 0.99))
    def test_admitted_openings_are_the_share_of_all(self, counts, share):
        """Guards against a cut-off that admits more or less than it says."""
        limit = find_limit(counts, share)
        admitted = sum(min(count, limit) for count in counts)
        self.assertAlmostEqual(admitted / sum(counts), share, places=6)

    @given(COUNTS, st.floats(0.01, 0.99))
    def test_every_address_gets_an_equal_part_or_all_it_opens(self, counts, share):
        """Guards against callers behind one address that are starved."""
        limit = find_limit(counts, share)
        self.assertGreaterEqual(limit + 1e-9, share * sum(counts) / len(counts))


class FairSharesTest(unittest.TestCase):
    """Counted openings of a level."""

    def setUp(self):
        self.now = START_MILLIS
        self.shares = FairShares(self.now)

    def offer(self, address, n_openings):
        for _ in range(n_openings):
            self.shares.note_offered(address, self.now)

    def test_address_with_ten_times_the_openings_is_limited_first(self):
        """Guards against a greedy caller that crowds out the others."""
        self.offer(b"greedy", 40)
        for number in range(10):
            self.offer(bytes([number]), 4)
        share = self.shares.admitted_share(b"\x01", 0.6, self.now)
        self.assertEqual(share, 1.0)
        greedy = self.shares.admitted_share(b"greedy", 0.6, self.now)
        self.assertAlmostEqual(greedy, 0.2)

    def test_level_that_is_admitted_whole_or_not_at_all(self):
        self.offer(b"greedy", 40)
        for share in (0.0, 1.0):
            self.assertEqual(
                self.shares.admitted_share(b"greedy", share, self.now), share
            )

    def test_greedy_caller_that_stopped_is_forgotten(self):
        """Guards against a limit that outlives its cause."""
        self.offer(b"greedy", 40)
        for _ in range(10):
            self.now += HALF_LIFE_MILLIS
            self.offer(b"other", 2)
        self.assertGreater(self.shares.admitted_share(b"greedy", 0.6, self.now), 0.99)

    def test_memory_is_bounded_and_keeps_the_greedy(self):
        self.offer(b"greedy", 40)
        for number in range(3 * MAX_ADDRESSES):
            self.offer(number.to_bytes(4), 1)
        self.assertEqual(len(self.shares), MAX_ADDRESSES)
        self.assertLess(self.shares.admitted_share(b"greedy", 0.6, self.now), 0.1)
