"""Response times of backend servers, measured from callers' packets alone.

Responses don't pass the balancer. But a caller acknowledges a response or ends its flow
right after it, so the time from a request to the caller's next packet without data is
the server's response time plus a round trip, which is similar for all servers of a
service.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

SMOOTHING_FACTOR = 0.3
"""Weight of a new sample; a change shows within about three requests."""

BASELINE_SMOOTHING_FACTOR = 0.02
"""Weight of a new sample in a service's baseline, over all of its servers."""

MIN_BASELINE_SAMPLES = 20
"""Requests of a service before its baseline is used."""

FAST_RATIO = 0.4
"""A response is too fast below this share of the unqueued response time. Service times
vary by half, so that only one served response in a few hundred is as fast."""

SLOWER_SMOOTHING_FACTOR = 0.002
QUEUED_SMOOTHING_FACTOR = 0.0005
"""Weights of slower samples in the unqueued response time; the second applies if the
request probably queued. Faster samples weigh ten times the first. The unqueued time
thus tracks requests that met a free server, and a burst hardly changes it. With the
mean in its place, such requests looked failed during a burst."""

FAST_SMOOTHING_FACTOR = 0.002
"""Weight of too fast responses in the baseline. Failing servers send many of them,
which must not become the baseline; a service that really became faster lowers it within
a few hundred responses."""

MIN_SAMPLES = 4
"""Requests before a server may count as slow; single ones vary twofold."""

SLOW_RATIO = 1.6
"""Ratio to the baseline from which a server is slow; the request mix alone stays
below."""

MAX_RATIO_BEFORE_SLOW = 2.8
"""Upper bound of a sample, in multiples of the baseline, while its server is not slow:
one long request then doesn't make a server slow, and two do."""

MAX_SLOWDOWN = 8.0
"""Upper bound of a server's slowdown."""

RETRY_SLOW_MILLIS = 6_000
"""Time without requests after which a slow server is retried."""


class ResponseTimes:
    """Baseline response times of services, and the slowdown of each server."""

    def __init__(self) -> None:
        self._baselines: dict[str, float] = {}
        self._unqueued: dict[str, float] = {}
        self._n_samples: dict[str, int] = {}

    def note_response(
        self, server: ServerRow, waited_millis: Millis, now: Millis
    ) -> bool:
        """Note a response; return whether it was too fast.

        Parameters
        ----------
        server : ServerRow
            Server that responded.
        waited_millis : Millis
            Time from the request to its acknowledgement or the end of the flow.
        now : Millis
            Current time.

        Returns
        -------
        bool
            Whether the response was too fast for a served request.
        """
        service = server.entry.service
        baseline = self._baselines.get(service, float(waited_millis))
        n_samples = self._n_samples.get(service, 0) + 1
        self._n_samples[service] = n_samples
        unqueued = self._unqueued.get(service, float(waited_millis))
        is_fast = (
            n_samples > MIN_BASELINE_SAMPLES and waited_millis < FAST_RATIO * unqueued
        )
        factor = FAST_SMOOTHING_FACTOR if is_fast else BASELINE_SMOOTHING_FACTOR
        if n_samples <= MIN_BASELINE_SAMPLES:
            factor = unqueued_factor = 1 / n_samples
        elif waited_millis < unqueued:
            unqueued_factor = factor
        elif _has_queued(server, now):
            unqueued_factor = QUEUED_SMOOTHING_FACTOR
        else:
            unqueued_factor = SLOWER_SMOOTHING_FACTOR
        self._unqueued[service] = (
            unqueued + (waited_millis - unqueued) * unqueued_factor
        )
        self._baselines[service] = baseline + (waited_millis - baseline) * factor
        if is_fast:
            return True
        if server.n_response_samples == 0:
            server.response_millis = baseline
        bound = MAX_SLOWDOWN if server.slowdown > 1.0 else MAX_RATIO_BEFORE_SLOW
        sample = min(float(waited_millis), bound * max(1.0, baseline))
        server.response_millis += (sample - server.response_millis) * SMOOTHING_FACTOR
        server.n_response_samples += 1
        server.last_sample_at = now
        ratio = server.response_millis / max(1.0, self._baselines[service])
        is_slow = server.n_response_samples >= MIN_SAMPLES and ratio >= SLOW_RATIO
        server.slowdown = min(MAX_SLOWDOWN, ratio) if is_slow else 1.0
        return False

    def baseline(self, service: str) -> float | None:
        """Return a service's baseline response time in ms, or None if unknown."""
        if self._n_samples.get(service, 0) < MIN_BASELINE_SAMPLES:
            return None
        return self._baselines[service]

    def reset_idle(self, server: ServerRow, now: Millis) -> None:
        """Clear the slowdown of a server without recent requests."""
        if server.slowdown > 1.0 and now - server.last_sample_at >= RETRY_SLOW_MILLIS:
            server.slowdown = 1.0
            server.n_response_samples = 0


def _has_queued(server: ServerRow, now: Millis) -> bool:
    """Return whether the request that a server just answered probably queued."""
    n_others = server.n_pending_requests + server.peer_load
    return n_others + 1 > server.capacity(now)
