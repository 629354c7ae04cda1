"""Averages without the standard library's module."""

import statistics
import unittest

from hypothesis import given
from hypothesis import strategies as st

from stoattray_core.steering.averages import mean, median

NUMBERS = st.lists(st.floats(-1e9, 1e9), min_size=1, max_size=20)


class AveragesTest(unittest.TestCase):
    """Guards against averages that differ from those of `statistics`."""

    @given(NUMBERS)
    def test_mean(self, numbers):
        self.assertEqual(mean(numbers), statistics.fmean(numbers))

    @given(NUMBERS)
    def test_median(self, numbers):
        self.assertEqual(median(numbers), statistics.median(numbers))
