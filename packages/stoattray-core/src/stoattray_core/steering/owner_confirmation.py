"""Confirmation of the replica that the ownership of cold servers relies on.

It is stricter than the confirmation that configuration and drains rely on: a report
that was queued while the process was paused is as old as the pause, so it confirms
nothing, and the answer to a request confirms the replica only as of a time at which it
was certainly complete.

After a time without confirmation another balancer may have become owner and stopped
again unseen, so the gap of a new owner then applies again.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS

OWNER_CONFIRMED_MILLIS = MAX_CONFIRMED_AGE_MILLIS
"""A balancer relies on its ownership only for this time after a confirmation. Readers
confirm at least every 1.8 s and report that within 0.2 s."""

MAX_RUN_GAP_MILLIS = 200
"""A longer time without running is a pause. Ticks run at least every 50 ms."""

QUEUED_REPORT_MILLIS = 250
"""Time after a pause for which received reports count as queued. The socket holds some
400 heartbeats, which take less time to read; the next one arrives 0.2 s later."""

REPORT_DELAY_MILLIS = 50
"""Delay that is assumed for a report. Without it, balancers that reach only each other
would confirm each other for longer, by the delay of each report."""

LATE_ANSWER_MILLIS = 200
"""Time that the answer to a watch may take beyond the watch's wait time and still
confirm the replica as of its arrival. It is part of the 1,300 ms that the ownership gap
has for reports that arrive late."""


class OwnerConfirmation:
    """Latest time at which the replica was certainly complete."""

    def __init__(self) -> None:
        self._confirmed_at: Millis | None = None
        self._unbroken_since: Millis = 0
        self._ran_at: Millis | None = None
        self._woke_at: Millis | None = None

    @property
    def unbroken_since(self) -> Millis:
        """Return the first confirmation since the last time without one."""
        return self._unbroken_since

    def age(self, now: Millis) -> Millis:
        """Return how long ago the replica was confirmed; `now` if never."""
        return now if self._confirmed_at is None else now - self._confirmed_at

    def is_recent(self, now: Millis) -> bool:
        """Return whether the ownership may be relied on."""
        return (
            self._confirmed_at is not None and self.age(now) <= OWNER_CONFIRMED_MILLIS
        )

    def note_running(self, now: Millis) -> None:
        """Note that the process runs; called before any report is read."""
        if self._ran_at is not None and now - self._ran_at > MAX_RUN_GAP_MILLIS:
            self._woke_at = now
        self._ran_at = now

    def confirm(self, at: Millis) -> None:
        """Note a time at which the replica was certainly complete."""
        previous = self._confirmed_at
        if previous is not None and at <= previous:
            return
        if previous is None or at - previous > OWNER_CONFIRMED_MILLIS:
            self._unbroken_since = at
        self._confirmed_at = at

    def confirm_by_report(self, at: Millis, now: Millis) -> None:
        """Note a report of a peer, unless it may have been queued during a pause.

        Parameters
        ----------
        at : Millis
            When the replica was complete if the report took no time.
        now : Millis
            When the report was read.
        """
        woke_at = self._woke_at
        if woke_at is None or now - woke_at >= QUEUED_REPORT_MILLIS:
            self.confirm(at - REPORT_DELAY_MILLIS)

    def confirm_by_watch(
        self, started_at: Millis, now: Millis, wait_millis: Millis
    ) -> None:
        """Note the answer to a watch of the store.

        Parameters
        ----------
        started_at : Millis
            When the watch was sent.
        now : Millis
            When its answer was read.
        wait_millis : Millis
            Longest time that the store waits for a change.
        """
        is_late = now - started_at > wait_millis + LATE_ANSWER_MILLIS
        was_paused = self._woke_at is not None and self._woke_at >= started_at
        self.confirm(started_at if is_late or was_paused else now)
