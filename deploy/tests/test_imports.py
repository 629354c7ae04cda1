"""Modules that a balancer imports before its first packet.

All balancers may lose power at once. On a VM with a sixth of a core, each millisecond
of imports then delays the first packet by six.
"""

import subprocess
import sys
import unittest

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


if __name__ == "__main__":
    unittest.main()
