"""The capacity page: its written part survives an update of the generated one."""

import unittest
from pathlib import Path

from benchmarks.capacity import (
    WRITTEN_PART_HEADING,
    Figures,
    build_page,
    keep_written_part,
)

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs/CAPACITY.md"


class CapacityPageTest(unittest.TestCase):
    """Updates of the page in the repository."""

    def test_update_keeps_the_written_part(self):
        page = PAGE.read_text()
        updated = keep_written_part(page, "# Capacity\n\nnew\n")
        self.assertTrue(updated.startswith("# Capacity\n\nnew\n\n## Cookie"))
        start = page.index(WRITTEN_PART_HEADING)
        self.assertTrue(updated.endswith(page[start:]))

    def test_page_without_a_written_part_is_replaced(self):
        self.assertEqual(keep_written_part("# Old\n", "# New\n"), "# New\n")

    def test_page_in_the_repository_is_up_to_date(self):
        figures = sorted((ROOT / "benchmarks/figures").glob("*.txt"))
        page = PAGE.read_text()
        generated = build_page(Figures(figures))
        self.assertEqual(keep_written_part(page, generated), page)
