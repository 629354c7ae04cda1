"""How fast backend servers answer, seen from callers' packets alone.

Answers do not pass the balancer. But a caller acknowledges or ends right after its
answer, so the time from its request to its next packet without data is the server's
time plus a round trip, which is alike for all servers of a service.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

SMOOTHING = 0.3
"""Share of a new sample; a change shows within some three requests."""

BASE_SMOOTHING = 0.02
"""Share of a new sample in a service's usual time, over all of its servers."""

MIN_BASE_SAMPLES = 20
"""Requests of a service before its usual time is known."""

FAST_RATIO = 0.4
"""Answers sooner than this share of a quick answer's time are too fast: work times
spread by half, so that a good one is so fast once in some hundreds."""

QUICK_SLOWER_SMOOTHING = 0.002
QUICK_QUEUED_SMOOTHING = 0.0005
"""Weights of a slower answer in the time of a quick one, and of one that probably had
to queue; a quicker one has ten times the first. That time follows requests that did not
queue, and a burst hardly moves it. With the mean in its place, requests that met a free
server during a burst looked failed."""

FAST_SMOOTHING = 0.002
"""Weight of fast answers in the usual time: failing servers give many of them, and must
not become the rule; a service that truly got faster does within some hundreds."""

MIN_SAMPLES = 4
"""Requests before a server is called slow; single ones vary twofold."""

SLOW_RATIO = 1.6
"""Ratio to the service's usual time that is no chance of the request mix."""

FIRST_RATIO = 2.8
"""Bound of a sample in multiples of the usual time while its server is not slow; one
long request then makes no slow server, and two do."""

MAX_RATIO = 8.0
"""Bound of what a server is taken to be slower."""

FORGET_MILLIS = 6_000
"""Time after which a slow server that gets no requests is tried again."""


class Pace:
    """Usual answer times of services, and of each server against them."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}
        self._quick: dict[str, float] = {}
        self._n_samples: dict[str, int] = {}

    def note_answer(self, server: ServerRow, waited: Millis, now: Millis) -> bool:
        """Note the time from a request to the caller's next packet.

        Parameters
        ----------
        server : ServerRow
            Server that answered.
        waited : Millis
            Time from request to acknowledgement or end.
        now : Millis
            Current time.

        Returns
        -------
        bool
            Whether the answer came far too fast to be a served request.
        """
        service = server.entry.service
        usual = self._usual.get(service, float(waited))
        n_samples = self._n_samples.get(service, 0) + 1
        self._n_samples[service] = n_samples
        quick = self._quick.get(service, float(waited))
        is_fast = n_samples > MIN_BASE_SAMPLES and waited < FAST_RATIO * quick
        smoothing = FAST_SMOOTHING if is_fast else BASE_SMOOTHING
        if n_samples <= MIN_BASE_SAMPLES:
            smoothing = quick_smoothing = 1 / n_samples
        elif waited < quick:
            quick_smoothing = smoothing
        elif _has_queued(server, now):
            quick_smoothing = QUICK_QUEUED_SMOOTHING
        else:
            quick_smoothing = QUICK_SLOWER_SMOOTHING
        self._quick[service] = quick + (waited - quick) * quick_smoothing
        self._usual[service] = usual + (waited - usual) * smoothing
        if is_fast:
            return True
        if server.n_answers == 0:
            server.answer_millis = usual
        bound = MAX_RATIO if server.slowness > 1.0 else FIRST_RATIO
        sample = min(float(waited), bound * max(1.0, usual))
        server.answer_millis += (sample - server.answer_millis) * SMOOTHING
        server.n_answers += 1
        server.paced_at = now
        ratio = server.answer_millis / max(1.0, self._usual[service])
        is_slow = server.n_answers >= MIN_SAMPLES and ratio >= SLOW_RATIO
        server.slowness = min(MAX_RATIO, ratio) if is_slow else 1.0
        return False

    def usual(self, service: str) -> float | None:
        """Return the usual time of a service's answers, or None if not known yet."""
        if self._n_samples.get(service, 0) < MIN_BASE_SAMPLES:
            return None
        return self._usual[service]

    def forget(self, server: ServerRow, now: Millis) -> None:
        """Try a slow server again that had no requests for long."""
        if server.slowness > 1.0 and now - server.paced_at >= FORGET_MILLIS:
            server.slowness = 1.0
            server.n_answers = 0


def _has_queued(server: ServerRow, now: Millis) -> bool:
    """Return whether a request that a server just answered probably had to queue."""
    n_others = server.n_asked + server.peer_load
    return n_others + 1 > server.capacity(now)
