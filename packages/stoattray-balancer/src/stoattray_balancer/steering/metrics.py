"""Counters and latency histograms as text, for those who scrape them.

The text is that of Prometheus, which OpenTelemetry's collector reads. Its SDK takes
10 MB, most of what such a process may use, so that the text is put together here.
"""

from collections import Counter
from collections.abc import Iterator, Mapping

from stoattray_core.steering.histogram import Histogram

MAX_LABEL_VALUES = 64
"""Values of a label that are kept apart; the rest counts as `other`."""


class CallMetrics:
    """Calls of one kind of dependency by operation and answer."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, Histogram] = {}

    def record(self, operation: str, result: str, millis: float) -> None:
        """Count one call."""
        self._counts[operation, result] += 1
        self._latencies.setdefault(operation, Histogram()).observe(millis)

    def format_lines(self, name: str) -> Iterator[str]:
        """Yield the lines of these calls."""
        for (operation, answer), n_calls in sorted(self._counts.items()):
            labels = f'operation="{operation}",answer="{answer}"'
            yield f"{name}_total{{{labels}}} {n_calls}"
        for operation, latencies in sorted(self._latencies.items()):
            yield from latencies.lines(f"{name}_ms", f'operation="{operation}"')


def format_counter(name: str, label: str, counts: Mapping[str, int]) -> Iterator[str]:
    """Yield the lines of a counter with one label; the rarest values are summed."""
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    for value, count in ranked[:MAX_LABEL_VALUES]:
        yield f'{name}_total{{{label}="{value}"}} {count}'
    other = sum(count for _, count in ranked[MAX_LABEL_VALUES:])
    if other:
        yield f'{name}_total{{{label}="other"}} {other}'


def format_gauge(name: str, value: float | None) -> Iterator[str]:
    """Yield the line of a gauge; none while there is no value."""
    if value is not None:
        yield f"{name} {value}"
