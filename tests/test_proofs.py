"""The specifications hold, and each defect that is put in is caught."""

import unittest

from proofs import bucket_moves, configuration, recovery
from proofs.checker import check


class BucketMoveTest(unittest.TestCase):
    """The protocol of bucket moves."""

    def test_holds(self):
        result = check(bucket_moves.BucketMove(), bucket_moves.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 300)

    def test_defects_are_caught(self):
        expected = {
            bucket_moves.Defect.NO_ACKNOWLEDGEMENTS: "A(G(not lost))",
            bucket_moves.Defect.NO_HOLD: "A(G(not lost))",
            bucket_moves.Defect.NO_COPY: "A(G(not lost))",
            bucket_moves.Defect.NO_WAIT: "A(G(not lost))",
            bucket_moves.Defect.NO_PINS: "A(G(not old_flow_moved))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                model = bucket_moves.BucketMove(defect)
                result = check(model, bucket_moves.FORMULAS)
                self.assertIn(formula, result.failed)


class DistributionTest(unittest.TestCase):
    """Writes, lost answers and the spread of the configuration."""

    def test_holds(self):
        result = check(configuration.Distribution(), configuration.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 500)

    def test_defects_are_caught(self):
        expected = {
            configuration.Defect.NO_COMPARISON: "A(G(not two_winners))",
            configuration.Defect.EARLY_VERDICT: "A(G(not wrong_verdict))",
            configuration.Defect.TAKES_ANY_REVISION: "A(G(not reverted))",
            configuration.Defect.SERVES_AT_ONCE: "A(G(not reverted))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                model = configuration.Distribution(defect)
                result = check(model, configuration.FORMULAS)
                self.assertIn(formula, result.failed)


class RecoveryTest(unittest.TestCase):
    """Starts, pauses and cookies with cookie placement."""

    def test_holds(self):
        result = check(recovery.Recovery(), recovery.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 1_500)

    def test_defects_are_caught(self):
        expected = {
            recovery.Defect.RESETS_UNREADY: "A(G(not false_reset))",
            recovery.Defect.TRUSTS_AFTER_PAUSE: "A(G(not false_reset))",
            recovery.Defect.COOKIE_BY_POSITION: "A(G(not moved))",
            recovery.Defect.SERVER_NOT_NAMED: "A(G(not misdelivered))",
            recovery.Defect.TAKES_ANY_REVISION: "A(G(not reverted))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                result = check(recovery.Recovery(defect), recovery.FORMULAS)
                self.assertIn(formula, result.failed)
