"""Modules that a balancer imports before its first packet.

All balancers may lose power at once. On a VM with a sixth of a core, each millisecond
of imports then delays the first packet by six.
"""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

LATE_OR_UNUSED = (
    "falcon",
    "logging",
    "opentelemetry",
    "pydantic",
    "requests",
    "statistics",
    "stoattray_balancer.steering.process_metrics",
    "thriftpy2",
)

ARCHIVE_MODULES = Path(__file__).parents[1] / "archive_modules.py"

LIST_MODULES_OUTSIDE = """
import os, sys
from stoattray_balancer.steering.module_archive import install_archive
before = set(sys.modules)
assert install_archive(os.path.realpath(sys.argv[1]) + "/modules.archive")
import stoattray_platform.program
for name in sys.modules.keys() - before:
    spec = getattr(sys.modules[name], "__spec__", None)
    if spec is not None and spec.origin and spec.origin.endswith(".py"):
        if type(spec.loader).__name__ != "ModuleArchive":
            print(name)
"""


class ImportTest(unittest.TestCase):
    """The start stays lean."""

    def test_start_imports_nothing_that_it_does_not_need(self):
        """Guards against a start that becomes slower by an import nobody notices."""
        program = "import sys, stoattray_platform.program; print(*sys.modules)"
        output = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            check=True,
            text=True,
            timeout=30,
        )
        imported = set(output.stdout.split())
        self.assertEqual(imported & set(LATE_OR_UNUSED), set())

    def test_archive_has_all_modules_of_a_start(self):
        """Guards against a start that searches folders for modules again."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        subprocess.run(
            [sys.executable, ARCHIVE_MODULES, folder], check=True, timeout=60
        )
        output = subprocess.run(
            [sys.executable, "-S", "-c", LIST_MODULES_OUTSIDE, folder],
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            text=True,
            timeout=30,
        )
        self.assertEqual(output.stdout.split(), [])


if __name__ == "__main__":
    unittest.main()
