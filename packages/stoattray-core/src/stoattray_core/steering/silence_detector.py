"""Detection of backend servers that leave opening packets unanswered.

A caller sends its next packet (the follow-up) within a round trip once its opening
packet is answered. A missing follow-up suggests a server that is dead, cut off or
overloaded. One makes the server suspect for a short time, several in a row for longer;
suspects are deprioritised. A follow-up clears the suspicion at once. If several servers
of another data centre are silent and none answers, the whole data centre is suspect: it
is probably cut off.
"""

from collections import Counter

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

FIRST_SUSPECT_MILLIS = 600
"""Suspicion after one silent opening; it may be a lost packet (well below 1 % are)."""

REPEATED_SUSPECT_MILLIS = 3_000
"""Suspicion after several in a row; a recovered server is retried within this time."""

N_REPEATED_SILENCES = 2
"""Silent openings in a row that are too many for packet loss."""

MIN_TIMEOUT_MILLIS = 25
MAX_TIMEOUT_MILLIS = 120
"""Bounds of the follow-up timeout; callers retransmit an opening after 200 ms."""

N_SILENT_FOR_CUT_OFF = 3
"""Silent servers in a row after which another data centre is treated as cut off; too
many for a coincidence."""

CUT_OFF_MILLIS = 1_500
"""How long a data centre is suspect. Each retry after it costs a few callers the
follow-up timeout; a data centre that is reachable again is used again within this
time."""

TIMEOUT_FACTOR = 3.0
"""Follow-up timeout in multiples of the baseline follow-up time."""

TIMEOUT_MARGIN_MILLIS = 8
"""Added to the timeout; this process may wake up a few milliseconds late."""

SMOOTHING_FACTOR = 0.05
"""Weight of a new sample in the baseline; averages over about 20 flows."""


class SilenceDetector:
    """Suspects servers whose openings get no follow-up.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer; it is never treated as cut off.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._n_silent_servers: Counter[str] = Counter()
        self._cut_off_until: dict[str, Millis] = {}
        self._baseline_follow_up_time = float(MIN_TIMEOUT_MILLIS) / TIMEOUT_FACTOR

    @property
    def baseline_follow_up_time(self) -> float:
        """Return the baseline time to a follow-up in ms: about a round trip."""
        return self._baseline_follow_up_time

    @property
    def follow_up_timeout_millis(self) -> Millis:
        """Return how long to wait for a follow-up before an opening is retried."""
        timeout = (
            int(self._baseline_follow_up_time * TIMEOUT_FACTOR) + TIMEOUT_MARGIN_MILLIS
        )
        return min(MAX_TIMEOUT_MILLIS, max(MIN_TIMEOUT_MILLIS, timeout))

    def note_follow_up(
        self, server: ServerRow, waited_millis: Millis | None, now: Millis
    ) -> bool:
        """Note a follow-up; return whether the server was suspect for its silence.

        Parameters
        ----------
        server : ServerRow
            Server that answered.
        waited_millis : Millis or None
            Time since the opening packet; None if it went to other servers too.
        now : Millis
            Current time.
        """
        if waited_millis is not None:
            bounded = min(waited_millis, MAX_TIMEOUT_MILLIS)
            self._baseline_follow_up_time += (
                bounded - self._baseline_follow_up_time
            ) * SMOOTHING_FACTOR
        self._n_silent_servers[server.entry.data_centre] = 0
        self._cut_off_until.pop(server.entry.data_centre, None)
        was_silent = now < server.suspect_until
        server.n_silent = 0
        server.suspect_until = 0
        server.last_established_at = now
        return was_silent

    def note_silence(self, server: ServerRow, sent_at: Millis, now: Millis) -> bool:
        """Note an overdue opening; return whether the server is newly suspect."""
        if server.last_established_at > sent_at:
            return False
        was_suspect = server.is_suspect(now)
        server.n_silent += 1
        is_repeated = server.n_silent >= N_REPEATED_SILENCES
        duration = REPEATED_SUSPECT_MILLIS if is_repeated else FIRST_SUSPECT_MILLIS
        server.suspect_until = max(server.suspect_until, now + duration)
        if not was_suspect:
            self._note_silent_server(server.entry.data_centre, now)
        return not was_suspect

    def is_suspect(self, server: ServerRow, now: Millis) -> bool:
        """Return whether a server or its whole data centre is suspect."""
        if server.is_suspect(now):
            return True
        return self.is_cut_off(server.entry.data_centre, now)

    def is_cut_off(self, data_centre: str, now: Millis) -> bool:
        """Return whether a whole data centre is suspect."""
        until = self._cut_off_until.get(data_centre)
        return until is not None and now < until

    def cut_off_until(self, data_centre: str) -> Millis:
        """Return until when a whole data centre is suspect; 0 if it is not."""
        return self._cut_off_until.get(data_centre, 0)

    def _note_silent_server(self, data_centre: str, now: Millis) -> None:
        if data_centre == self._data_centre:
            return
        self._n_silent_servers[data_centre] += 1
        if self._n_silent_servers[data_centre] >= N_SILENT_FOR_CUT_OFF:
            self._cut_off_until[data_centre] = now + CUT_OFF_MILLIS
