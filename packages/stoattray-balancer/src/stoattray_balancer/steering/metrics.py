"""Counters, gauges and latency histograms in the Prometheus text format.

OpenTelemetry's collector scrapes this format. The OpenTelemetry SDK would take 10 MB,
most of the memory that the balancer may use, so this module formats the text itself.
"""

from collections import Counter
from collections.abc import Iterator, Mapping

from stoattray_core.steering.histogram import Histogram

MAX_LABEL_VALUES = 64
"""Most distinct values of a label; the rarest others are summed as `other`."""


class CallMetrics:
    """Counts and latencies of the calls to one dependency, by operation and result."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, Histogram] = {}

    def record(self, operation: str, result: str, millis: float) -> None:
        """Count one call that took `millis` milliseconds."""
        self._counts[operation, result] += 1
        self._latencies.setdefault(operation, Histogram()).observe(millis)

    def format_lines(self, name: str) -> Iterator[str]:
        """Yield the counters and histograms, whose names start with `name`."""
        for (operation, result), n_calls in sorted(self._counts.items()):
            labels = f'operation="{operation}",answer="{result}"'
            yield f"{name}_total{{{labels}}} {n_calls}"
        for operation, latencies in sorted(self._latencies.items()):
            yield from latencies.prometheus_lines(
                f"{name}_ms", f'operation="{operation}"'
            )


def format_counter(name: str, label: str, counts: Mapping[str, int]) -> Iterator[str]:
    """Yield the lines of a counter with one label, the most frequent value first."""
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    for value, count in ranked[:MAX_LABEL_VALUES]:
        yield f'{name}_total{{{label}="{value}"}} {count}'
    other = sum(count for _, count in ranked[MAX_LABEL_VALUES:])
    if other:
        yield f'{name}_total{{{label}="other"}} {other}'


def format_pairs(
    name: str, labels: tuple[str, str], counts: Mapping[tuple[str, str], int]
) -> Iterator[str]:
    """Yield the lines of a counter with two labels of few values each."""
    for values, count in sorted(counts.items()):
        pairs = ",".join(
            f'{label}="{value}"' for label, value in zip(labels, values, strict=True)
        )
        yield f"{name}_total{{{pairs}}} {count}"


def format_gauge(name: str, value: float | None) -> Iterator[str]:
    """Yield the line of a gauge, or nothing if `value` is None."""
    if value is not None:
        yield f"{name} {value}"
