"""Histogram of durations, in the Prometheus text format."""

from bisect import bisect_left
from collections.abc import Iterator

BOUNDS_MILLIS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
"""Upper bounds of the buckets; target latencies lie between 100 and 900 ms."""


class Histogram:
    """Counts of durations by bucket."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS_MILLIS) + 1)
        self._sum = 0.0

    def observe(self, millis: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(BOUNDS_MILLIS, millis)] += 1
        self._sum += millis

    def prometheus_lines(self, name: str, labels: str = "") -> Iterator[str]:
        """Yield the lines of this histogram in the Prometheus text format."""
        total = 0
        comma = "," if labels else ""
        for bound, count in zip((*BOUNDS_MILLIS, "+Inf"), self._counts, strict=True):
            total += count
            yield f'{name}_bucket{{{labels}{comma}le="{bound}"}} {total}'
        braces = f"{{{labels}}}" if labels else ""
        yield f"{name}_sum{braces} {self._sum:.3f}"
        yield f"{name}_count{braces} {total}"
