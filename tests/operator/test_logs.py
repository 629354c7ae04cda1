"""`explain` and `report` on the log of a real run.

The log is of two balancers whose data centre was partitioned from the store and the
other data centres while callers used a route that neither balancer knew.
"""

import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from stoattray_operator._log_lines import read_log_lines
from stoattray_operator._report import build_report, format_report
from stoattray_operator.main import main

LOG = Path(__file__).parent / "logs/store-away.log"
REFUSED_FLOW = "100.64.0.4:1169"
OPENED_FLOW = "100.64.0.12:1127>198.18.0.1:8443"


class FlowMatrixTest(unittest.TestCase):
    """Flows between data centres in a report."""

    @staticmethod
    def lines(*pairs):
        text = (
            f"time=2026-02-01T05:39:4{n}.000Z level=info event=flow_opened "
            f"server=i-{n} data_centre={data_centre} opened_in={opened_in}"
            for n, (opened_in, data_centre) in enumerate(pairs)
        )
        return read_log_lines(text, "edge-1")

    def test_flows_are_counted_from_balancer_to_server(self):
        report = build_report(
            self.lines(("idk-a", "idk-a"), ("idk-a", "idk-b"), ("idk-b", "idk-b"))
        )
        text = "\n".join(format_report(report))
        self.assertRegex(text, r"DATA CENTRE +idk-a +idk-b +LEFT")
        self.assertRegex(text, r"idk-a +1 +1 +50\.0%")
        self.assertRegex(text, r"idk-b +0 +1 +0\.0%")

    def test_lines_of_earlier_releases_give_no_matrix(self):
        """Guards against flows that are counted as if they had left."""
        with LOG.open() as log:
            report = build_report(read_log_lines(log, "edge-1"))
        self.assertEqual(report.n_flows_between.total(), 0)
        self.assertNotIn("DATA CENTRE", "\n".join(format_report(report)))


class LogCommandTest(unittest.TestCase):
    """Output and errors of the commands that read logs."""

    def run_command(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            status = main([*arguments])
        return status, output.getvalue(), errors.getvalue()

    def test_explain_follows_a_flow_across_balancers_in_order_of_time(self):
        status, output, _ = self.run_command("explain", REFUSED_FLOW, str(LOG))
        self.assertEqual(status, 0)
        lines = output.splitlines()
        self.assertEqual(lines, sorted(lines, key=lambda line: line[2:26]))
        marked = [line for line in lines if line.startswith("*")]
        self.assertEqual(len(marked), 4)
        self.assertIn("helper=edge-luzon-a-3", marked[0])
        self.assertIn("edge-luzon-a-3 packet_refused kind=unknown_address", marked[1])
        self.assertIn("kind=no_owner", marked[2])
        self.assertTrue(any("store_lost" in line for line in lines), output)

    def test_explain_includes_health_events_of_the_servers(self):
        _, output, _ = self.run_command("explain", OPENED_FLOW, str(LOG))
        silent = output.index("backend_server_silent server=i-f0ab7a6435")
        tried = output.index("opening_tried_again")
        self.assertLess(silent, tried)

    def test_explain_of_a_server_shows_why_openings_were_withheld(self):
        """Guards against a cold server that gets nothing without a reason."""
        line = (
            "edge-luzon-a-1 time=2026-02-01T05:39:48.696Z level=info "
            "event=warm_up_limited server=i-74394e08e5 owner=edge-luzon-a-2 "
            "reason=gap n_left=0 confirmed_age_ms=310\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "edge-luzon-a-1.log")
            path.write_text(line)
            status, output, _ = self.run_command("explain", "i-74394e08e5", str(path))
        self.assertEqual(status, 0)
        self.assertIn("* ", output)
        self.assertIn("warm_up_limited", output)
        self.assertIn("reason=gap", output)

    def test_explain_of_an_unknown_flow_is_an_error(self):
        status, output, errors = self.run_command("explain", "1.2.3.4:5", str(LOG))
        self.assertNotEqual(status, 0)
        self.assertEqual(output, "")
        self.assertIn("no line names '1.2.3.4:5'", errors)

    def test_explain_reads_standard_input(self):
        with LOG.open() as log, mock.patch.object(sys, "stdin", log):
            status, output, _ = self.run_command("explain", REFUSED_FLOW)
        self.assertEqual(status, 0)
        self.assertIn("helper=edge-luzon-a-3", output)

    def test_report_counts_every_line(self):
        text = LOG.read_text()
        with LOG.open() as file:
            report = build_report(read_log_lines(file, "x"))
        self.assertEqual(report.n_lines_by_event.total(), text.count("event="))
        self.assertEqual(report.n_left_out_by_event, {"flow_opened": 68 + 74})
        self.assertEqual(report.n_refusals["unknown_address", "handed over"], 1)
        self.assertEqual(report.n_refusals["no_owner", "dropped"], 2)
        server = report.by_server["i-f0ab7a6435"]
        self.assertEqual(server["opening_tried_again"], text.count("silent=i-f0ab7a"))
        seconds = report.by_second["flow_opened"]
        self.assertEqual(seconds.total(), text.count("event=flow_opened"))

    def test_report_is_printed(self):
        status, output, _ = self.run_command("report", str(LOG))
        self.assertEqual(status, 0)
        self.assertIn("2 balancers", output)
        for title in ("Events", "Refused packets", "Backend servers", "Balancers"):
            self.assertIn(f"\n{title}", output)

    def test_report_without_lines_is_an_error(self):
        with mock.patch.object(sys, "stdin", io.StringIO("nothing here\n")):
            status, _, errors = self.run_command("report")
        self.assertNotEqual(status, 0)
        self.assertIn("no log lines of balancers", errors)

    def test_report_plots_an_image(self):
        with tempfile.TemporaryDirectory() as folder:
            image = Path(folder) / "run.png"
            status, _, _ = self.run_command("report", str(LOG), "--plot", str(image))
            self.assertEqual(status, 0)
            self.assertTrue(image.read_bytes().startswith(b"\x89PNG"))

    def test_report_without_the_optional_library_says_what_to_install(self):
        with mock.patch.dict(sys.modules, {"matplotlib.figure": None}):
            status, _, errors = self.run_command("report", str(LOG), "--plot", "x.png")
        self.assertNotEqual(status, 0)
        self.assertIn("stoattray-operator[plot]", errors)
