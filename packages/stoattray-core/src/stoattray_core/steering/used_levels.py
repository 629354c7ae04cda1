"""Priority levels of services that have callers.

Operators may declare routes that nobody uses, with any priority. Such a route must not
count as the highest level of its service, as every level in use would then be a lower
one. A level counts until its service has had openings for a while without any of it.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Configuration
from stoattray_core.steering.priority_levels import ServiceLevels, find_service_levels

USED_MILLIS = 3_000
"""A level is in use for this time after an opening, and after the first opening of its
service. A balancer that gets ten openings a second sees a level of a tenth of them in
that time."""


class UsedLevels:
    """Levels in use by service, for services that use at least two."""

    def __init__(self) -> None:
        self._declared: dict[str, ServiceLevels] = {}
        self._opened_at: dict[str, dict[int, Millis]] = {}
        self._used: dict[str, ServiceLevels] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that use at least two levels."""
        return tuple(self._used)

    def get(self, service: str) -> ServiceLevels | None:
        """Return the levels in use of a service; None if it uses fewer than two."""
        return self._used.get(service)

    def declare(self, configuration: Configuration | None) -> None:
        """Apply the routes of a configuration."""
        self._declared = find_service_levels(configuration) if configuration else {}
        self._used.clear()
        for service in self._declared:
            self._restrict(service)

    def note_opening(self, service: str, level: int, now: Millis) -> None:
        """Note an opening of a level."""
        declared = self._declared.get(service)
        if declared is None:
            return
        opened_at = self._opened_at.get(service)
        if opened_at is None:
            opened_at = self._opened_at[service] = dict.fromkeys(declared.levels, now)
        is_new = level not in opened_at
        opened_at[level] = now
        if is_new:
            self._restrict(service)

    def expire(self, now: Millis) -> None:
        """Remove the levels that are no longer in use."""
        for service, opened_at in list(self._opened_at.items()):
            recent = {
                level: at for level, at in opened_at.items() if now - at < USED_MILLIS
            }
            if len(recent) < len(opened_at):
                self._opened_at[service] = recent
                self._restrict(service)

    def _restrict(self, service: str) -> None:
        used = self._declared.get(service)
        opened_at = self._opened_at.get(service)
        if used is not None and opened_at is not None:
            used = used.restricted_to(opened_at.keys())
        if used is not None and len(used.levels) > 1:
            self._used[service] = used
        else:
            self._used.pop(service, None)
