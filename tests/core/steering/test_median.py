"""Median of a few samples."""

import unittest
from statistics import median as expected_median

from hypothesis import given
from hypothesis import strategies as st

from stoattray_core.steering._median import median

SAMPLES = st.lists(st.integers(0, 10_000), min_size=1, max_size=50)


class MedianTest(unittest.TestCase):
    """It is that of the standard library."""

    @given(samples=SAMPLES)
    def test_median_is_that_of_the_standard_library(self, samples):
        """Guards against service times learned from the wrong sample."""
        self.assertEqual(median(samples), expected_median(samples))


if __name__ == "__main__":
    unittest.main()
