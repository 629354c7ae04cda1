"""Model of what callers of an outage can get at best."""

import unittest
from random import Random

from benchmarks.outage import Outage, outage_shares, served_after


def shares(outage, seed=1):
    """Return the shares of a span of two seconds around the begin of an outage."""
    return outage_shares(
        outage, before_millis=50, after_millis=1_950, n_callers=2_000, seed=seed
    )


class OutageTest(unittest.TestCase):
    """Shares by length of the outage and of a start."""

    def test_shares_add_up_and_follow_from_the_seed(self):
        first = shares(Outage())
        self.assertAlmostEqual(sum(first), 1.0)
        self.assertEqual(first, shares(Outage()))
        self.assertNotEqual(first, shares(Outage(), seed=2))

    def test_faster_start_serves_more(self):
        """Guards against a model in which a start costs nothing."""
        served = [
            1 - shares(Outage(ready_millis=millis)).not_served
            for millis in (400, 200, 10)
        ]
        self.assertEqual(served, sorted(served))
        self.assertGreater(served[2] - served[0], 0.1)

    def test_caller_after_the_outage_is_served_in_time(self):
        waited = served_after(Outage(), 3_000, Random(1))
        self.assertLessEqual(waited, Outage().target_millis)

    def test_caller_whose_deadline_passes_in_the_outage_is_not_served(self):
        """Guards against callers that are served after their deadline."""
        outage = Outage(down_millis=2_000)
        self.assertIsNone(served_after(outage, 0.0, Random(1)))

    def test_opening_in_a_bound_socket_is_served_when_the_balancer_is_ready(
        self,
    ):
        """Guards against a model that loses what a bound socket holds."""
        outage = Outage(
            down_millis=100, start_delays=(0, 0), bind_millis=0, ready_millis=300
        )
        waited = served_after(outage, 150.0, Random(1))
        self.assertAlmostEqual(waited, 100 + 300 + 37 - 150.0)


if __name__ == "__main__":
    unittest.main()
