"""Averages of few numbers.

Importing `statistics` takes 5 % of a process's start (deploy/tests/test_imports.py).
"""

import math
from collections.abc import Collection


def mean(numbers: Collection[float]) -> float:
    """Return the mean of one or more numbers."""
    return math.fsum(numbers) / len(numbers)


def median(numbers: Collection[float]) -> float:
    """Return the median of one or more numbers."""
    ordered = sorted(numbers)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
