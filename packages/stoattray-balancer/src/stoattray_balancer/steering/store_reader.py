"""Keeps the copy of the store up to date, and this balancer's own record in it."""

from collections.abc import Callable
from random import Random

import gevent

from stoattray_balancer._call_limits import BackOff
from stoattray_balancer.steering.metrics import CallMetrics
from stoattray_balancer.steering.store_client import StoreClient
from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.interfaces import EventSink
from stoattray_core.steering.replica import Difference
from stoattray_core.steering.steering import Steering
from stoattray_core.steering.store_health import StoreState

WATCH_WAIT_MILLIS = 1_000
"""Longest wait of a watch; each answer confirms the copy of a whole data centre, and a
connection that went silent is noticed after it."""

BATCH_SECONDS = 0.7
"""Pause between two watches, so that one answer carries many changes; with the
answer it keeps drains and configuration within half of their bound of 3 s."""

READER_CHECK_SECONDS = 0.2
"""How often a balancer that takes changes from peers looks whether it still may."""

FIRST_BACK_OFF_SECONDS = 0.25
MAX_BACK_OFF_SECONDS = 1.0
"""Bounds of the pause after failures; a returned store has to be read within 2 s."""

RANK_BACK_OFF_SECONDS = 0.5
"""Added to the pause for each balancer that goes before this one, so that an outage
does not multiply calls, which are priced."""

MAX_RANK_BACK_OFF_SECONDS = 3.0
"""Bound of what is added; with it a balancer that alone reaches the store reads."""

LEASE_MILLIS = 60_000
"""Life of the own record. It only tells balancers that start where others are, and
heartbeats to one that is gone cost less than frequent renewals."""

RENEWAL_SECONDS = 18.0
"""Two renewals may fail before the lease ends."""

FIRST_REGISTRATION_BACK_OFF_SECONDS = 1.0


class StoreReader:
    """Reads the store while this balancer has to.

    Parameters
    ----------
    steering : Steering
        Takes changes and says who has to read.
    client : StoreClient
        Asks the store.
    clock : callable
        Returns the time.
    random : Random
        Source of jitter.
    on_event : EventSink
        Takes events.
    """

    def __init__(
        self,
        steering: Steering,
        client: StoreClient,
        *,
        clock: Callable[[], Millis],
        random: Random,
        on_event: EventSink,
    ) -> None:
        self._steering = steering
        self._client = client
        self._clock = clock
        self._on_event = on_event
        self._back_off = BackOff(FIRST_BACK_OFF_SECONDS, MAX_BACK_OFF_SECONDS, random)
        self._must_read_all = False
        self.calls = CallMetrics()

    @property
    def is_designated(self) -> bool:
        """Return whether this balancer has to read the store at present."""
        now = self._clock()
        return self._steering.members.is_reader(now, self._steering.confirmed_age(now))

    @property
    def is_reading(self) -> bool:
        """Return whether it reads the store and the store answers."""
        is_well = self._steering.store_health.state is not StoreState.UNWELL
        return is_well and self.is_designated

    def replace_client(self, client: StoreClient) -> None:
        """Ask another address of the store from the next call on."""
        self._client = client

    def run(self) -> None:
        """Read for ever."""
        while True:
            if not self.is_designated:
                gevent.sleep(READER_CHECK_SECONDS)
                continue
            gevent.sleep(self._read_once())

    def _read_once(self) -> float:
        """Make one call and return the seconds to wait after it."""
        started_at = self._clock()
        revision = self._steering.replica.revision
        if revision == 0 or self._must_read_all:
            answer = self._client.read_all()
        else:
            answer = self._client.watch(revision, WATCH_WAIT_MILLIS)
        operation = "read" if revision == 0 or self._must_read_all else "watch"
        kind = answer.kind if isinstance(answer, Refused) else "ok"
        self.calls.record(operation, kind, self._clock() - started_at)
        if isinstance(answer, Refused):
            return self._handle_refusal(answer)
        self._must_read_all = False
        self._handle_answer(answer, started_at)
        return BATCH_SECONDS if answer.records else 0.0

    def _handle_answer(self, answer: Difference, started_at: Millis) -> None:
        now = self._clock()
        self._back_off.succeed()
        if self._steering.store_health.note_answer(now):
            self._on_event("store_back", revision=answer.revision)
        self._steering.take(answer, now)
        self._steering.confirm(started_at if answer.is_whole else now)

    def _handle_refusal(self, refused: Refused) -> float:
        if refused.kind is ErrorKind.HISTORY_GONE:
            self._must_read_all = True
            self._on_event("store_history_gone", detail=refused.detail)
            return 0.0
        if self._steering.store_health.note_failure():
            self._on_event("store_lost", kind=refused.kind, detail=refused.detail)
        n_preceding = self._steering.members.n_before(self._clock())
        rank_back_off = min(
            MAX_RANK_BACK_OFF_SECONDS, n_preceding * RANK_BACK_OFF_SECONDS
        )
        return self._back_off.fail() + rank_back_off


class Registration:
    """Keeps this balancer's own record in the store while it runs.

    Parameters
    ----------
    client : StoreClient
        Asks the store.
    name : str
        Name of this balancer.
    value : bytes
        What the others read.
    min_lease : Millis
        Shortest lease that the store gives.
    random : Random
        Source of jitter.
    on_event : EventSink
        Takes events.
    """

    def __init__(
        self,
        client: StoreClient,
        name: str,
        value: bytes,
        *,
        min_lease: Millis,
        random: Random,
        on_event: EventSink,
    ) -> None:
        self._client = client
        self._name = name
        self._record = value
        self._lease_millis = max(LEASE_MILLIS, min_lease)
        self._random = random
        self._on_event = on_event
        self._back_off = BackOff(
            FIRST_REGISTRATION_BACK_OFF_SECONDS, RENEWAL_SECONDS, random
        )
        self._lease: int | None = None

    def replace_client(self, client: StoreClient) -> None:
        """Ask another address of the store from the next call on."""
        self._client = client

    def run(self) -> None:
        """Register and renew for ever."""
        while True:
            refused = self._register_or_renew()
            if isinstance(refused, Refused):
                gevent.sleep(self._back_off.fail())
            else:
                self._back_off.succeed()
                gevent.sleep(RENEWAL_SECONDS * self._random.uniform(0.8, 1.0))

    def deregister(self) -> None:
        """Take the own record away; a lost call leaves that to the lease."""
        if self._lease is not None:
            self._client.revoke_lease(self._lease)
            self._lease = None

    def _register_or_renew(self) -> None | Refused:
        if self._lease is not None:
            refused = self._client.renew_lease(self._lease)
            if isinstance(refused, Refused) and refused.kind is ErrorKind.NOT_FOUND:
                self._on_event("lease_ended", lease=self._lease)
                self._lease = None
            else:
                return refused
        lease = self._client.grant_lease(self._lease_millis)
        if isinstance(lease, Refused):
            return lease
        refused = self._client.put_member(self._name, self._record, lease)
        if not isinstance(refused, Refused):
            self._lease = lease
            self._on_event("registered", lease=lease)
        return refused
