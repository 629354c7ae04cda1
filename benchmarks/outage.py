"""What callers of an outage of all balancers can get at best, by time to start.

``python -m benchmarks.outage`` prints, for several times from the start of a process
until it is ready, the shares of an outage's callers that are served in time, late and
not at all: ``name value unit``. The model knows callers and balancers only: each
opening that reaches a ready balancer, or waits in its bound socket, is served at once.
What is measured beyond that is lost by decisions or by servers.

Callers send an opening at 0, 0.2 and 0.6 s, give it up at 1.4 s and try again, twice at
most, until their deadline. The platform starts processes some time after their VMs are
back. Routers send a flow's packets to one balancer out of all until half of them are
ready, then to one of those that are. All VMs are alike.
"""

import argparse
from collections.abc import Iterator, Sequence
from random import Random
from typing import NamedTuple

TRANSMISSIONS_MILLIS = (0, 200, 600)
GIVE_UP_MILLIS = 1_400
MAX_TRIES = 3

SERVICE_MILLIS = 37
"""Median time from an opening to the end of its response without any fault."""


class Outage(NamedTuple):
    """An outage of all balancers.

    Parameters
    ----------
    down_millis : int
        Time without power.
    start_delays : tuple of (int, int)
        Shortest and longest time from then until the platform starts a process.
    bind_millis, ready_millis : int
        Time from there until sockets are bound, and until the balancer is ready.
    n_balancers : int
        Balancers of a data centre.
    target_millis, deadline_millis : int
        Target latency and deadline of the callers.
    """

    down_millis: int = 1_500
    start_delays: tuple[int, int] = (50, 430)
    bind_millis: int = 10
    ready_millis: int = 210
    n_balancers: int = 11
    target_millis: int = 276
    deadline_millis: int = 1_638


class Shares(NamedTuple):
    """Shares of the callers that begin during the outage or before its end."""

    in_time: float
    late: float
    not_served: float


class _Balancer(NamedTuple):
    bound_at: float
    ready_at: float

    def answers_at(self, sent_at: float) -> float | None:
        """Return when a packet is forwarded, or None if it is lost."""
        return None if sent_at < self.bound_at else max(sent_at, self.ready_at)


def served_after(outage: Outage, caller_at: float, random: Random) -> float | None:
    """Return how long one caller waits for its response; None if it is not served.

    Parameters
    ----------
    outage : Outage
        The outage, which begins at 0.
    caller_at : float
        When the caller sends its first opening, in ms.
    random : Random
        Draws the balancers.
    """
    balancers = []
    for _ in range(outage.n_balancers):
        started_at = outage.down_millis + random.uniform(*outage.start_delays)
        balancers.append(
            _Balancer(started_at + outage.bind_millis, started_at + outage.ready_millis)
        )
    ready_times = sorted(balancer.ready_at for balancer in balancers)
    half_ready_at = ready_times[len(ready_times) // 2]
    for number in range(MAX_TRIES):
        opened_at = caller_at + number * GIVE_UP_MILLIS
        index = random.randrange(len(balancers))
        for millis in TRANSMISSIONS_MILLIS:
            sent_at = opened_at + millis
            balancer = balancers[index]
            if sent_at >= half_ready_at and balancer.ready_at > sent_at:
                ready = [b for b in balancers if b.ready_at <= sent_at]
                balancer = random.choice(ready)
            answered_at = balancer.answers_at(sent_at)
            if answered_at is None or answered_at >= opened_at + GIVE_UP_MILLIS:
                continue
            waited = answered_at + SERVICE_MILLIS - caller_at
            return waited if waited <= outage.deadline_millis else None
    return None


def outage_shares(
    outage: Outage, *, before_millis: int, after_millis: int, n_callers: int, seed: int
) -> Shares:
    """Return the shares of the callers of a span around the outage's begin.

    Parameters
    ----------
    outage : Outage
        The outage.
    before_millis, after_millis : int
        The span begins that long before the outage, where callers are served in time,
        and ends that long after its begin.
    n_callers : int
        Callers to draw.
    seed : int
        Seed of all random choices.
    """
    random = Random(seed)
    n_in_time = n_late = 0
    for _ in range(n_callers):
        caller_at = random.uniform(-before_millis, after_millis)
        waited = 0.0 if caller_at < 0 else served_after(outage, caller_at, random)
        if waited is not None and waited <= outage.target_millis:
            n_in_time += 1
        elif waited is not None:
            n_late += 1
    n_lost = n_callers - n_in_time - n_late
    return Shares(n_in_time / n_callers, n_late / n_callers, n_lost / n_callers)


def main(argv: Sequence[str] | None = None) -> int:
    """Print the shares for several times to start; return the exit status."""
    parser = argparse.ArgumentParser(description="Best possible in an outage.")
    parser.add_argument("--down", type=int, default=1_500, help="ms without power")
    parser.add_argument("--before", type=int, default=53, help="ms before the outage")
    parser.add_argument("--span", type=int, default=2_000, help="ms of the whole span")
    parser.add_argument("--callers", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    for ready_millis in (470, 330, 210, 100, 0):
        outage = Outage(
            down_millis=arguments.down,
            ready_millis=ready_millis,
            bind_millis=min(10, ready_millis),
        )
        shares = outage_shares(
            outage,
            before_millis=arguments.before,
            after_millis=arguments.span - arguments.before,
            n_callers=arguments.callers,
            seed=arguments.seed,
        )
        print(*_lines(ready_millis, shares), sep="\n")
    return 0


def _lines(ready_millis: int, shares: Shares) -> Iterator[str]:
    for name, share in shares._asdict().items():
        yield f"outage.ready_{ready_millis}_ms.{name} {share:.4f} share"


if __name__ == "__main__":
    raise SystemExit(main())
