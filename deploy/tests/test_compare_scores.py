"""Worths read from the bench's table, and the comparison of two commits."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from compare_scores import read_worths, table_lines

OUTPUT = """\
built in 0.1 s; 18996 lines in 160 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 4/18   0.59  0.956  1.000   0.000  0.000  worst windows 1.00
trouble-1             78/293   0.70  0.841  0.983   0.000  0.003  worst windows 0.74
fresh-a0b1              4/18   0.66  0.770  0.954   0.000  0.014  worst windows 0.51
GATE passed
"""


class CompareScoresTest(unittest.TestCase):
    """Rows of the table."""

    def test_worths_of_the_standard_days(self):
        self.assertEqual(read_worths(OUTPUT), {"quiet-1": 0.956, "trouble-1": 0.841})

    def test_day_that_lost_worth_is_marked(self):
        lines = table_lines("site", {"a": 0.9, "b": 0.9}, {"a": 0.88, "b": 0.89})
        self.assertEqual(
            sorted(lines),
            ["| site | a | 0.900 | 0.880 | lower |", "| site | b | 0.900 | 0.890 |  |"],
        )

    def test_day_without_a_result_is_shown(self):
        self.assertEqual(
            list(table_lines("site", {"a": 0.9}, {})),
            ["| site | a | 0.9 | None | not played |"],
        )
