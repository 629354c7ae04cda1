"""Suspicion of backend servers that leave opening packets unanswered.

A caller goes on within a round trip once its opening packet is answered, so
silence tells of a server that is dead, cut off or full. One silent opening makes
a server wait its turn for a short while; several in a row for longer. An answer
clears it at once. Where several servers of another data centre are silent and none
answers, the whole data centre waits its turn: it is probably cut off.
"""

from collections import Counter

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

FIRST_SUSPECT_MILLIS = 600
"""After one silent opening, which may be a lost packet (loss is well below 1 %)."""

REPEATED_SUSPECT_MILLIS = 3_000
"""After several in a row; a server that returns is found again within this time."""

N_REPEATED = 2
"""Silent openings in a row that are not chance."""

MIN_PATIENCE_MILLIS = 25
MAX_PATIENCE_MILLIS = 120
"""Bounds of the wait for a follow-up; callers repeat an opening after 200 ms."""

N_SILENT_SERVERS = 3
"""Silent servers in a row of another data centre that are no chance."""

CUT_OFF_MILLIS = 1_500
"""How long a data centre waits its turn; each try after it costs a few callers the
patience below, and a cut that has healed is used again within this time."""

PATIENCE_FACTOR = 3.0
"""Wait in multiples of the usual time until callers go on."""

PATIENCE_MARGIN_MILLIS = 8
"""Added to the wait; a late wake-up of this process takes a few milliseconds."""

SMOOTHING = 0.05
"""Share of a new sample in the usual time; forgets within some 20 flows."""


class Suspicion:
    """Judges servers by whether callers go on after their opening packet.

    Parameters
    ----------
    data_centre : str
        Where this balancer stands; it is never taken to be cut off.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._n_silent: Counter[str] = Counter()
        self._cut_off_until: dict[str, Millis] = {}
        self._usual_answer = float(MIN_PATIENCE_MILLIS) / PATIENCE_FACTOR

    @property
    def usual_answer(self) -> float:
        """Return the usual time until callers go on, about a round trip."""
        return self._usual_answer

    @property
    def patience(self) -> Millis:
        """Return how long an opening packet may stay without follow-up."""
        patience = int(self._usual_answer * PATIENCE_FACTOR) + PATIENCE_MARGIN_MILLIS
        return min(MAX_PATIENCE_MILLIS, max(MIN_PATIENCE_MILLIS, patience))

    def note_answer(
        self, server: ServerRow, waited: Millis | None, now: Millis
    ) -> bool:
        """Note that a caller went on; return whether the server was suspect.

        Parameters
        ----------
        server : ServerRow
            Server that answered.
        waited : Millis or None
            Time since its opening packet; None if others got it too.
        now : Millis
            Current time.
        """
        if waited is not None:
            bounded = min(waited, MAX_PATIENCE_MILLIS)
            self._usual_answer += (bounded - self._usual_answer) * SMOOTHING
        self._n_silent[server.entry.data_centre] = 0
        self._cut_off_until.pop(server.entry.data_centre, None)
        was_suspect = server.is_suspect(now)
        server.n_silent = 0
        server.suspect_until = 0
        server.last_answer_at = now
        return was_suspect

    def note_silence(self, server: ServerRow, sent_at: Millis, now: Millis) -> bool:
        """Note an opening that nothing followed; return whether it is new news."""
        if server.last_answer_at > sent_at:
            return False
        was_suspect = server.is_suspect(now)
        server.n_silent += 1
        is_repeated = server.n_silent >= N_REPEATED
        pause = REPEATED_SUSPECT_MILLIS if is_repeated else FIRST_SUSPECT_MILLIS
        server.suspect_until = max(server.suspect_until, now + pause)
        if not was_suspect:
            self._note_silent_server(server.entry.data_centre, now)
        return not was_suspect

    def is_suspect(self, server: ServerRow, now: Millis) -> bool:
        """Return whether a server or its whole data centre waits its turn."""
        if server.is_suspect(now):
            return True
        until = self._cut_off_until.get(server.entry.data_centre)
        return until is not None and now < until

    def _note_silent_server(self, data_centre: str, now: Millis) -> None:
        if data_centre == self._data_centre:
            return
        self._n_silent[data_centre] += 1
        if self._n_silent[data_centre] >= N_SILENT_SERVERS:
            self._cut_off_until[data_centre] = now + CUT_OFF_MILLIS
