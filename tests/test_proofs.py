"""Tests that the specifications hold and that each deliberate defect is detected."""

import unittest

from proofs import bucket_moves, configuration, recovery, restored_store, warm_up
from proofs.checker import check


class BucketMoveTest(unittest.TestCase):
    """The protocol of bucket moves."""

    def test_holds(self):
        result = check(bucket_moves.BucketMove(), bucket_moves.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 300)

    def test_defects_are_detected(self):
        expected = {
            bucket_moves.Defect.NO_ACKNOWLEDGEMENTS: "A(G(not lost))",
            bucket_moves.Defect.NO_HOLD: "A(G(not lost))",
            bucket_moves.Defect.NO_REPLICATION: "A(G(not lost))",
            bucket_moves.Defect.NO_SETTLING_WAIT: "A(G(not lost))",
            bucket_moves.Defect.NO_PINS: "A(G(not old_flow_moved))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                model = bucket_moves.BucketMove(defect)
                result = check(model, bucket_moves.FORMULAS)
                self.assertIn(formula, result.failed)


class ConfigurationDistributionTest(unittest.TestCase):
    """Writes, lost answers and distribution of the configuration."""

    def test_holds(self):
        result = check(
            configuration.ConfigurationDistribution(), configuration.FORMULAS
        )
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 500)

    def test_defects_are_detected(self):
        expected = {
            configuration.Defect.NO_COMPARE_AND_SWAP: "A(G(not two_winners))",
            configuration.Defect.PREMATURE_NOT_APPLIED: "A(G(not wrong_verdict))",
            configuration.Defect.ACCEPTS_OLDER_REVISION: "A(G(not reverted))",
            configuration.Defect.SERVES_BEFORE_SYNC: "A(G(not reverted))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                model = configuration.ConfigurationDistribution(defect)
                result = check(model, configuration.FORMULAS)
                self.assertIn(formula, result.failed)


class RecoveryTest(unittest.TestCase):
    """Restarts, pauses and cookie routing with cookie placement."""

    def test_holds(self):
        result = check(recovery.Recovery(), recovery.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 1_500)

    def test_defects_are_detected(self):
        expected = {
            recovery.Defect.RESETS_BEFORE_READY: "A(G(not false_reset))",
            recovery.Defect.CONFIRMED_AFTER_PAUSE: "A(G(not false_reset))",
            recovery.Defect.COOKIE_BY_INDEX: "A(G(not moved))",
            recovery.Defect.SERVER_NOT_IDENTIFIED: "A(G(not misdelivered))",
            recovery.Defect.ACCEPTS_OLDER_REVISION: "A(G(not reverted))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                result = check(recovery.Recovery(defect), recovery.FORMULAS)
                self.assertIn(formula, result.failed)


class RestoredStoreTest(unittest.TestCase):
    """A store that returns from an older copy in a new era."""

    def test_holds(self):
        result = check(restored_store.RestoredStore(), restored_store.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 1_000)

    def test_defects_are_detected(self):
        defects = restored_store.Defect
        expected = {
            defects.REVISION_WITHOUT_ERA: "A(G(E(F(converged))))",
            defects.ACCEPTS_LATE_ANSWER: "A(G(not replica_reverted))",
            defects.ACCEPTS_OLDER_PEER: "A(G(not replica_reverted))",
            defects.APPLIES_COPIED_CONFIGURATION: "A(G(not reverted))",
            defects.DROPS_AT_ONCE: "A(G(not dropped))",
        }
        for defect, formula in expected.items():
            with self.subTest(defect):
                model = restored_store.RestoredStore(defect)
                result = check(model, restored_store.FORMULAS)
                self.assertIn(formula, result.failed)


class WarmUpTest(unittest.TestCase):
    """Ownership of the budget of a cold server."""

    def test_holds(self):
        result = check(warm_up.WarmUp(), warm_up.FORMULAS)
        self.assertEqual(result.failed, ())
        self.assertGreater(result.n_states, 20_000)

    def test_defects_are_detected(self):
        for defect in warm_up.Defect:
            if defect is warm_up.Defect.NONE:
                continue
            with self.subTest(defect):
                result = check(warm_up.WarmUp(defect), warm_up.FORMULAS)
                self.assertIn("A(G(not two_senders))", result.failed)
