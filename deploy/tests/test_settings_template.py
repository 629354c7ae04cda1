"""The template of the settings is valid JSON with and without optional figures."""

import json
import re
import tempfile
import unittest
from itertools import combinations
from pathlib import Path

from stoattray_balancer.steering.settings import load_steering_settings
from stoattray_core.steering.warm_up_budget import WarmUpBounds

TEMPLATE = Path(__file__).parents[1] / "settings.json"
VALUES = {
    "node_name": "edge-1",
    "zone": "luzon-a",
    "ip": "10.1.0.10",
    "endpoints.control_plane": "10.1.0.10:8166",
    "internal_port_range.0": 7720,
    "platform.address": "10.200.1.7:8169",
    "platform.reads_per_s": 2000,
    "platform.min_ttl_ms": 1000,
    "bounds.flow_ttl_s": 60,
    "bounds.grace_period_s": 6,
}
OPTIONAL_BOUNDS = {"evacuation_ms": 5_000, "warmup_overage": 1.5, "warmup_slack": 5}
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
NAME = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template: str, values: dict) -> str:
    """Render values, and sections without lists, of the platform's templates."""

    def render_section(match):
        value = values.get(match[1])
        if value is None:
            return ""
        return match[2].replace("{{.|json}}", json.dumps(value))

    def render_name(match):
        value = values[match[1]]
        return json.dumps(value) if match[2] else str(value)

    return NAME.sub(render_name, SECTION.sub(render_section, template))


class SettingsTemplateTest(unittest.TestCase):
    """Rendered settings."""

    def render(self, **bounds):
        values = VALUES | {f"bounds.{name}": value for name, value in bounds.items()}
        return render(TEMPLATE.read_text(), values)

    def load(self, **bounds):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_text(self.render(**bounds))
            return load_steering_settings(str(path))

    def test_without_the_figures_there_is_no_limit(self):
        """Guards against a file that older platforms render as invalid JSON."""
        self.assertIsNone(self.load().warm_up_bounds)

    def test_with_the_figures(self):
        """Guards against figures that do not reach the settings."""
        settings = self.load(warmup_overage=1.5, warmup_slack=5)
        self.assertEqual(settings.warm_up_bounds, WarmUpBounds(1.5, 5.0))

    def test_bound_for_evacuations_changes_no_setting(self):
        """Guards against behaviour that hangs on a figure which has no part in it."""
        self.assertEqual(self.render(evacuation_ms=5_000), self.render())
        self.assertEqual(self.load(evacuation_ms=5_000), self.load())

    def test_every_combination_of_optional_figures_is_read(self):
        """Guards against a comma that is missing, or too many, without a figure.

        The settings are refused if only one figure of the warm-up limit is present.
        """
        for n_present in range(len(OPTIONAL_BOUNDS) + 1):
            for names in combinations(OPTIONAL_BOUNDS, n_present):
                bounds = {name: OPTIONAL_BOUNDS[name] for name in names}
                with self.subTest(names):
                    values = json.loads(self.render(**bounds))
                    self.assertEqual(values["remote_traffic"], {"min_round_trip_ms": 4})
                    if ("warmup_overage" in names) == ("warmup_slack" in names):
                        self.load(**bounds)
