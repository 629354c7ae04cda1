"""Promises that are checked while the soak runs, and what broke them."""

import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Promises:
    """Violations by promise, and counts of what was checked."""

    started_at: float = field(default_factory=time.monotonic)
    violations: list[dict[str, object]] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    disturbed_until: float = 0.0

    @property
    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.started_at

    @property
    def is_calm(self) -> bool:
        """Return whether bounds in time hold: no fault now or shortly before."""
        return self.now >= self.disturbed_until

    def disturb(self, seconds: float) -> None:
        """Suspend bounds in time, and the promise that nothing is cut."""
        self.disturbed_until = max(self.disturbed_until, self.now + seconds)

    def break_(self, promise: str, **details: object) -> None:
        """Note a violation."""
        self.violations.append(
            {"promise": promise, "at": round(self.now, 3), **details}
        )
