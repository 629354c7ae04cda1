"""Spans of the hops of one packet are linked across balancers."""

import io
import random
import unittest

from opentelemetry.sdk.metrics.export import ConsoleMetricExporter
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from stoattray_balancer._telemetry import Telemetry, TraceContext
from stoattray_balancer.settings import TelemetrySettings
from stoattray_core import Core, CoreSettings, Identity, MemberId


class TelemetryTest(unittest.TestCase):
    """Recorded spans and the encoding of their context."""

    def test_hops_share_a_trace(self):
        identity = Identity(MemberId("b1"), "127.0.0.1", 1, 2, 3, "dc1", 1)
        core = Core(
            identity,
            seeds=(),
            settings=CoreSettings(),
            random=random.Random(1),
            now=0,
        )
        spans = InMemorySpanExporter()
        settings = TelemetrySettings(exporter="console")
        exporters = (spans, ConsoleMetricExporter(out=io.StringIO()))
        telemetry = Telemetry(settings, "b1", core, exporters=exporters)
        first = telemetry.record_span("fabric to balancer")
        received = TraceContext.from_bytes(first.to_bytes())
        second = telemetry.record_span("balancer to peer", received, hops=1)
        telemetry.record_span("balancer to backend server", second)
        telemetry.stop()
        finished = spans.get_finished_spans()
        self.assertEqual(len(finished), 3)
        self.assertEqual(len({span.context.trace_id for span in finished}), 1)
        self.assertEqual(finished[1].parent.span_id, finished[0].context.span_id)
        self.assertEqual(finished[2].parent.span_id, finished[1].context.span_id)
