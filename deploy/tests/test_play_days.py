"""Table of played days, from the bench's reports."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from play_days import DaySeed, read_report, table_lines


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


class PlayDaysTest(unittest.TestCase):
    """Reports are read and compared; broken rules show."""

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

    def test_day_without_a_seed_is_refused(self):
        with self.assertRaises(ValueError):
            DaySeed.parse("scale-1")


if __name__ == "__main__":
    unittest.main()
