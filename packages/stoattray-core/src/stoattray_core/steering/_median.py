"""Median, without the module `statistics`, whose import takes 5 % of a start."""

from collections.abc import Iterable


def median(samples: Iterable[float]) -> float:
    """Return the median of at least one sample."""
    ordered = sorted(samples)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
