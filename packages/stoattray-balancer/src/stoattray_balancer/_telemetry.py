"""Export of metrics and sampled traces through OpenTelemetry."""

from collections.abc import Iterable
from dataclasses import dataclass

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    MetricExporter,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.trace import SpanContext, SpanKind, TraceFlags, Tracer

from stoattray_balancer.settings import TelemetrySettings, TraceExporter
from stoattray_core import Core

MILLIS_PER_SECOND = 1_000
TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
TRACE_CONTEXT_BYTES = TRACE_ID_BYTES + SPAN_ID_BYTES


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Trace and span id of the previous hop, sent along with a relayed packet."""

    trace_id: int
    span_id: int

    def to_bytes(self) -> bytes:
        """Return trace id and span id, in the order of W3C Trace Context."""
        trace_id = self.trace_id.to_bytes(TRACE_ID_BYTES)
        return trace_id + self.span_id.to_bytes(SPAN_ID_BYTES)

    @classmethod
    def from_bytes(cls, data: bytes) -> "TraceContext":
        """Parse the bytes written by `to_bytes`."""
        trace_id = int.from_bytes(data[:TRACE_ID_BYTES])
        return cls(trace_id, int.from_bytes(data[TRACE_ID_BYTES:TRACE_CONTEXT_BYTES]))


class Telemetry:
    """Exports the core's counters and a span per hop of each sampled packet.

    Parameters
    ----------
    settings : TelemetrySettings
        Exporter and sampling rate.
    member : str
        Name of this balancer.
    core : Core
        Source of the metrics.
    exporters : tuple of SpanExporter and MetricExporter, optional
        Replace the exporters that the settings select; unused if the settings
        turn off the export.
    """

    def __init__(
        self,
        settings: TelemetrySettings,
        member: str,
        core: Core,
        *,
        exporters: tuple[SpanExporter, MetricExporter] | None = None,
    ) -> None:
        self._core = core
        self._settings = settings
        self._custom_exporters = exporters
        self.is_tracing = settings.exporter is not TraceExporter.NONE
        attributes = {"service.name": "stoattray", "service.instance.id": member}
        resource = Resource.create(attributes)
        self._tracer_provider = TracerProvider(resource=resource)
        self._meter_provider: MeterProvider | None = None
        if self.is_tracing:
            self._start_exporters(resource)
        self.tracer: Tracer = self._tracer_provider.get_tracer("stoattray")

    def record_span(
        self, name: str, parent: TraceContext | None = None, **attributes: str | int
    ) -> TraceContext:
        """Record a span for one hop and return its context for the next hop."""
        context = None
        if parent is not None:
            remote = SpanContext(
                parent.trace_id,
                parent.span_id,
                is_remote=True,
                trace_flags=TraceFlags(TraceFlags.SAMPLED),
            )
            context = trace.set_span_in_context(trace.NonRecordingSpan(remote))
        span = self.tracer.start_span(
            name, context=context, kind=SpanKind.INTERNAL, attributes=attributes
        )
        span.end()
        span_context = span.get_span_context()
        return TraceContext(span_context.trace_id, span_context.span_id)

    def stop(self) -> None:
        """Export pending spans and metrics, and shut down."""
        self._tracer_provider.shutdown()
        if self._meter_provider is not None:
            self._meter_provider.shutdown()

    def _start_exporters(self, resource: Resource) -> None:
        spans, metrics = self._choose_exporters()
        self._tracer_provider.add_span_processor(BatchSpanProcessor(spans))
        period = int(self._settings.metrics_period_seconds * MILLIS_PER_SECOND)
        reader = PeriodicExportingMetricReader(metrics, export_interval_millis=period)
        self._meter_provider = MeterProvider(metric_readers=[reader], resource=resource)
        meter = self._meter_provider.get_meter("stoattray")
        meter.create_observable_counter(
            "stoattray.events", [self._observe_counters], unit="1"
        )
        meter.create_observable_gauge(
            "stoattray.config.revision", [self._observe_revision], unit="1"
        )
        meter.create_observable_gauge(
            "stoattray.evacuated_data_centres", [self._observe_evacuations], unit="1"
        )

    def _choose_exporters(self) -> tuple[SpanExporter, MetricExporter]:
        if self._custom_exporters is not None:
            return self._custom_exporters
        if self._settings.exporter is TraceExporter.CONSOLE:
            return ConsoleSpanExporter(), ConsoleMetricExporter()
        base_url = self._settings.otlp_url or "http://127.0.0.1:4318"
        return (
            OTLPSpanExporter(endpoint=f"{base_url}/v1/traces"),
            OTLPMetricExporter(endpoint=f"{base_url}/v1/metrics"),
        )

    def _observe_counters(self, _: CallbackOptions) -> Iterable[Observation]:
        for name, value in dict(self._core.counters).items():
            yield Observation(value, {"event": str(name)})

    def _observe_revision(self, _: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._core.config_revision)

    def _observe_evacuations(self, _: CallbackOptions) -> Iterable[Observation]:
        yield Observation(len(self._core.tables.evacuated_data_centres))
