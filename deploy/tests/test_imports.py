"""Modules that a balancer imports before its first packet.

All balancers may lose power at once. On a VM with a sixth of a core, each millisecond
of imports then delays the first packet by six.
"""

import json
import os
import re
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

PROGRAM = Path(__file__).parents[2] / "platform/src/stoattray_platform/__main__.py"

UNUSED_BY_A_START = (
    "concurrent.futures",
    "dataclasses",
    "gevent.resolver.thread",
    "gevent.threadpool",
    "inspect",
    "pprint",
)
"""Modules that gevent imports for look-ups of names and for reports of errors."""


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

    def test_connections_of_a_start_import_nothing_for_names(self):
        """Guards against address look-ups, whose imports delay the first packet.

        The balancer connects to a store and to seeds that refuse the connections.
        """
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        settings = folder / "settings.json"
        host = f"127.{30 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
        values = {
            "member": "edge-1",
            "data_centre": "luzon-a",
            "host": host,
            "metrics_port": 7_215,
            "peer_port": 7_213,
            "seeds": [f"{host}:7217", f"{host}:7218"],
            "store": f"{host}:7216",
            "store_reads_per_second": 100,
            "min_lease_ms": 1_000,
            "flow_life_seconds": 60,
            "grace_seconds": 3,
        }
        settings.write_text(json.dumps(values))
        imports = folder / "imports"
        command = [sys.executable, "-X", "importtime", PROGRAM]
        with imports.open("w") as errors:
            process = subprocess.Popen(
                [*command, f"{host}:7211", f"{host}:7212"],
                env={"PATH": os.environ["PATH"], "STOATTRAY_NODE_FILE": str(settings)},
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
            )
            self.addCleanup(process.stdout.close)
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            lines = iter(process.stdout.readline, "")
            self.assertTrue(any("peer_unreachable" in line for line in lines))
        imported = set(re.findall(r"\| +([\w.]+)$", imports.read_text(), re.MULTILINE))
        self.assertIn("stoattray_platform.program", imported)
        self.assertEqual(imported & set(UNUSED_BY_A_START), set())

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
