"""Records violations of the invariants that are checked during a soak run.

Reports call an invariant a promise; docs/PROMISES.md lists them all.
"""

import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass
class InvariantMonitor:
    """Violations, counters, and the time window in which faults are active."""

    started_at: float = field(default_factory=time.monotonic)
    violations: list[dict[str, object]] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    fault_window_ends_at: float = 0.0

    @property
    def elapsed_seconds(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    @property
    def is_settled(self) -> bool:
        """Return whether time bounds are enforced: no fault is active or recent."""
        return self.elapsed_seconds >= self.fault_window_ends_at

    def extend_fault_window(self, seconds: float) -> None:
        """Suspend time bounds and the check for interrupted flows for a time."""
        self.fault_window_ends_at = max(
            self.fault_window_ends_at, self.elapsed_seconds + seconds
        )

    def record_violation(self, invariant: str, **details: object) -> None:
        """Record a violation of an invariant."""
        self.violations.append(
            {"promise": invariant, "at": round(self.elapsed_seconds, 3), **details}
        )
