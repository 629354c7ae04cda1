"""Rate limit and exponential backoff for outgoing calls."""

import time
from random import Random


class RateLimiter:
    """Token bucket that limits the rate of calls.

    Parameters
    ----------
    calls_per_second : float
        Sustained rate, and the burst size, which is at least one call.
    """

    def __init__(self, calls_per_second: float) -> None:
        self._calls_per_second = calls_per_second
        self._tokens = max(1.0, calls_per_second)
        self._refilled_at = time.monotonic()
        self.n_calls = 0

    def try_acquire(self) -> bool:
        """Return whether a call is allowed now, and count it if so."""
        now = time.monotonic()
        filled = self._tokens + (now - self._refilled_at) * self._calls_per_second
        self._tokens = min(max(1.0, self._calls_per_second), filled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.n_calls += 1
        return True


class ExponentialBackoff:
    """Exponential backoff with jitter between failed calls.

    Each delay is drawn uniformly from an interval whose upper end doubles with
    every failure.

    Parameters
    ----------
    first_seconds, max_seconds : float
        Upper end of the first interval, and the maximum.
    random : Random
        Source of jitter.
    """

    MIN_FRACTION = 0.25
    """Lower end of an interval as a fraction of its upper end; rules out
    immediate retries."""

    def __init__(
        self, first_seconds: float, max_seconds: float, random: Random
    ) -> None:
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._random = random
        self.n_failures = 0

    def record_success(self) -> None:
        """Reset to the first interval."""
        self.n_failures = 0

    def record_failure(self) -> float:
        """Record a failure and return the delay before the next call, in seconds."""
        interval = min(
            self._max_seconds, self._first_seconds * 2 ** min(10, self.n_failures)
        )
        self.n_failures += 1
        return self._random.uniform(interval * self.MIN_FRACTION, interval)
