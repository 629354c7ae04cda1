"""Lost and repeated answers to openings, callers that pause and use ports again."""

import struct
from collections import deque
from random import Random

ANSWER_LOSS_SHARE = 0.03
"""Share of flows whose first SYN+ACK is lost."""

REPEAT_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
"""Pauses after which a server repeats its SYN+ACK until the flow opens there."""

PAUSING_SHARE = 0.3
PAUSE_SECONDS = (0.4, 1.1)
N_PAUSED_REQUESTS = 5
"""Share of flows whose callers pause between few requests, and bounds of the pause;
such a flow lasts less than 6 s."""

FIRST_PORT = 20_000
MIN_UNUSED_SECONDS = 1.0
MIN_FREE_PORTS = 10
"""A port is used again this long after its flow ended, the oldest of these first."""


class Losses:
    """What is lost, and how callers behave, in a run with losses.

    Parameters
    ----------
    seed : int
        Seed of the run.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(f"losses of {seed}")
        self._answered: set[tuple[bytes, int]] = set()

    def loses_answer(self, flow_key: bytes, sequence: int) -> bool:
        """Return whether a SYN+ACK is lost; only the first of a flow is ever."""
        if (flow_key, sequence) in self._answered:
            return False
        self._answered.add((flow_key, sequence))
        return self._random.random() < ANSWER_LOSS_SHARE

    def draw_pauses(self) -> list[float] | None:
        """Return the pauses after the requests of a flow; None for the usual ones."""
        if self._random.random() >= PAUSING_SHARE:
            return None
        return [self._random.uniform(*PAUSE_SECONDS) for _ in range(N_PAUSED_REQUESTS)]


class Ports:
    """Source ports of one caller's flows; used again if `reuses` is set."""

    def __init__(self, *, reuses: bool) -> None:
        self._reuses = reuses
        self._last = FIRST_PORT
        self._free: deque[tuple[float, int]] = deque()

    def take(self, now: float) -> bytes:
        """Return the port of a new flow, as in its key."""
        if len(self._free) >= MIN_FREE_PORTS:
            freed_at, port = self._free[0]
            if now - freed_at >= MIN_UNUSED_SECONDS:
                self._free.popleft()
                return struct.pack(">H", port)
        self._last += 1
        return struct.pack(">H", self._last)

    def release(self, key: bytes, now: float) -> None:
        """Note that the flow with a key has ended."""
        if self._reuses:
            self._free.append((now, struct.unpack(">H", key[10:12])[0]))
