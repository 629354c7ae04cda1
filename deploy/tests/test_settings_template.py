"""The settings template yields valid JSON with and without optional figures."""

import json
import re
import unittest
from pathlib import Path

TEMPLATE = Path(__file__).parents[1] / "settings.json"
SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{[^}]*\}\}")


def render(present):
    """Return the settings with sections of the `present` values; others are 1."""
    text = SECTION.sub(
        lambda match: match[3] if (match[2] in present) == (match[1] == "#") else "",
        TEMPLATE.read_text(),
    )
    return json.loads(VALUE.sub("1", text))


class SettingsTemplateTest(unittest.TestCase):
    """Guards against a template that no process can read."""

    def test_contention_is_on_only_where_data_centres_are_evacuated(self):
        self.assertNotIn("contention", render(set()))
        self.assertEqual(render({"bounds.evacuation_ms"})["contention"], {})
