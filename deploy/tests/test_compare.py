"""Comparison of variants on the bench: reports, table, and replaced mechanisms."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from compare import ROOT, DaySeed, read_report, standard_days, table_lines
from mechanisms import MECHANISMS, Replacement


def report_text(worth, breaks=()):
    """Return a report as the bench writes it."""
    return json.dumps(
        {
            "G": worth,
            "unserved": 0.25,
            "parts": [["whole day", 0.32, 0.9], ["nines", 0.28, 0.5]],
            "prices": [["machines", 299.1, 0.01], ["calls", 2.0, 0.02]],
            "breaks": dict.fromkeys(breaks, 1),
            "fault": None,
        }
    )


class ReportTest(unittest.TestCase):
    """Reports are read and compared; broken rules and lost worth show."""

    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "report.json"
            path.write_text(text)
            return read_report(path)

    def test_table_has_days_and_means(self):
        reports = {
            "before": [self.read(report_text(0.5))],
            "after": [self.read(report_text(0.75, ["FLOW"]))],
        }
        lines = list(table_lines([DaySeed.parse("scale-1:24")], reports))
        self.assertEqual(lines[0], "| day | before | after |")
        self.assertEqual(lines[2], "| scale-1:24 | 0.500 | 0.750 broken: FLOW |")
        self.assertIn("| mean worth | 0.5000 | 0.7500 |", lines)
        self.assertIn("| mean prices | 0.0300 | 0.0300 |", lines)

    def test_day_that_lost_worth_is_marked(self):
        """Guards against a loss that is overlooked in a long table."""
        reports = {
            "before": [self.read(report_text(0.9)), self.read(report_text(0.9))],
            "after": [self.read(report_text(0.88)), self.read(report_text(0.89))],
        }
        days = [DaySeed("a", None), DaySeed("b", None)]
        lines = list(table_lines(days, reports))
        self.assertEqual(lines[2], "| a | 0.900 | 0.880 lower |")
        self.assertEqual(lines[3], "| b | 0.900 | 0.890 |")

    def test_day_without_a_report_is_shown_and_left_out_of_the_means(self):
        """Guards against means over different days."""
        reports = {
            "before": [self.read(report_text(0.5)), self.read(report_text(0.9))],
            "after": [self.read(report_text(0.6)), None],
        }
        days = [DaySeed("a", 1), DaySeed("b", 2)]
        lines = list(table_lines(days, reports))
        self.assertEqual(lines[3], "| b:2 | 0.900 | not played |")
        self.assertIn("| mean worth | 0.5000 | 0.6000 |", lines)

    def test_lines_of_code_of_a_mechanism(self):
        reports = {name: [self.read(report_text(0.5))] for name in ("a", "b")}
        lines = list(table_lines([DaySeed("a", 1)], reports, {"b": 120}))
        self.assertEqual(lines[-1], "| lines of code | 0 | 120 |")


class DayTest(unittest.TestCase):
    """Days as they are given on the command line."""

    def test_varied_and_standard_days(self):
        self.assertEqual(DaySeed.parse("scale-1:24"), DaySeed("scale-1", 24))
        self.assertEqual(DaySeed.parse("scale-1"), DaySeed("scale-1", None))

    def test_invalid_days_are_refused(self):
        for text in ("", ":3", "scale-1:", "scale-1:x"):
            with self.subTest(text), self.assertRaises(ValueError):
                DaySeed.parse(text)

    def test_standard_days_of_a_site(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text('[[day]]\nname = "quiet-1"\n[[day]]\nname = "scale-1"\n')
            days = standard_days(path)
        self.assertEqual([str(day) for day in days], ["quiet-1", "scale-1"])


class MechanismTest(unittest.TestCase):
    """Replacements fit the code."""

    def test_each_text_occurs_once(self):
        """Guards against an ablation that takes nothing out."""
        for name, mechanism in MECHANISMS.items():
            for replacement in mechanism.replacements:
                with self.subTest(name):
                    content = (ROOT / replacement.path).read_text()
                    self.assertEqual(content.count(replacement.text), 1)

    def test_modules_exist(self):
        for mechanism in MECHANISMS.values():
            self.assertGreaterEqual(mechanism.n_lines(ROOT), 0)

    def test_text_that_does_not_occur_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "file").write_text("a a")
            for text in ("a", "b"):
                with self.assertRaises(ValueError):
                    Replacement("file", text, "").apply(Path(folder))


if __name__ == "__main__":
    unittest.main()
