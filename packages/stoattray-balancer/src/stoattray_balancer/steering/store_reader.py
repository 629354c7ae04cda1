"""Replicates the store, and maintains this balancer's own record in it."""

import os
from collections.abc import Callable
from random import Random

import gevent

from stoattray_balancer._throttling import ExponentialBackoff
from stoattray_balancer.steering.early_request import EarlyRequest
from stoattray_balancer.steering.metrics import CallMetrics
from stoattray_balancer.steering.store_client import StoreClient
from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.replica import Difference
from stoattray_core.steering.steering import Steering
from stoattray_core.steering.store_health import StoreState

WATCH_WAIT_MILLIS = 1_000
"""Longest wait of a watch. Each response confirms the replicas of a whole data centre,
and a dead connection is detected after this time."""

BATCH_SECONDS = 0.7
"""Pause after a watch with changes, so that the next response carries many. Including
the response, drains and configuration arrive within half of their bound of 3 s."""

READER_CHECK_SECONDS = 0.2
"""Time between checks of whether a balancer that pulls from peers has to read."""

FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 1.0
"""Bounds of the pause after failures; a recovered store has to be read within 2 s."""

RANK_BACKOFF_SECONDS = 0.5
"""Added to the pause for each balancer of higher rank (earlier name in the data
centre), so that an outage does not multiply calls, which are priced."""

MAX_RANK_BACKOFF_SECONDS = 3.0
"""Bound of that addition, so that the only balancer that can reach the store still
reads it."""

LEASE_MILLIS = 60_000
"""Lifetime of this balancer's record. Only starting balancers use it to find others,
and heartbeats to one that has gone cost less than frequent renewals."""

RESTORED_SPREAD_SECONDS = 2.0
"""Shortest time over which balancers write their records again after the store returned
from an older copy."""

CALLS_PER_REGISTRATION = 3
RESTORED_CALL_SHARE = 0.05
"""Calls of one balancer, and the share of the store's limit for reads that all
balancers use together while they write their records again. The limit for writes is a
fifth."""

ERA_CHECK_SECONDS = 1.0
"""Time between checks of whether the store returned from an older copy."""

RENEWAL_SECONDS = 18.0
"""Time between renewals; two may fail before the lease ends."""

FIRST_REGISTRATION_BACKOFF_SECONDS = 1.0


class StoreReader:
    """Reads the store while this balancer is a designated reader.

    Parameters
    ----------
    steering : Steering
        Applies changes and designates readers.
    client : StoreClient
        Client of the store.
    clock : callable
        Returns the time in milliseconds.
    random : Random
        Source of jitter.
    on_event : EventSink
        Receives events.
    early_request : EarlyRequest or None
        Request for all records, if it was sent already.
    """

    def __init__(
        self,
        steering: Steering,
        client: StoreClient,
        *,
        clock: Callable[[], Millis],
        random: Random,
        on_event: EventSink,
        early_request: EarlyRequest | None = None,
    ) -> None:
        self._steering = steering
        self._client = client
        self._clock = clock
        self._on_event = on_event
        self._backoff = ExponentialBackoff(
            FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, random
        )
        self._must_read_all = False
        self._early_request = early_request
        self.calls = CallMetrics()

    @property
    def is_designated(self) -> bool:
        """Return whether this balancer has to read the store now."""
        now = self._clock()
        return self._steering.members.must_read_store(
            now, self._steering.confirmed_age(now)
        )

    @property
    def is_reading(self) -> bool:
        """Return whether this balancer is designated and the store is not failing."""
        is_healthy = self._steering.store_health.state is not StoreState.UNHEALTHY
        return is_healthy and self.is_designated

    def replace_client(self, client: StoreClient) -> None:
        """Use another client from the next call on."""
        self._client = client

    def run(self) -> None:
        """Read the store forever, whenever this balancer is designated."""
        while True:
            if not self.is_designated:
                self._drop_early_request()
                gevent.sleep(READER_CHECK_SECONDS)
                continue
            gevent.sleep(self._read_once())

    def _read_once(self) -> float:
        """Make one call and return the pause after it in seconds."""
        started_at = self._clock()
        revision = self._steering.replica.revision
        if revision == 0 or self._must_read_all:
            early, self._early_request = self._early_request, None
            if early is not None:
                started_at = early.sent_at
                self._client.adopt(early)
            response = self._client.read_all()
        else:
            self._drop_early_request()
            response = self._client.watch(revision, WATCH_WAIT_MILLIS)
        operation = "read" if revision == 0 or self._must_read_all else "watch"
        kind = response.kind if isinstance(response, Refused) else "ok"
        self.calls.record(operation, kind, self._clock() - started_at)
        if isinstance(response, Refused):
            return self._handle_refusal(response)
        if response.era != self._steering.replica.version.era:
            pause = self._handle_other_era(response)
            if pause is not None:
                return pause
        self._must_read_all = False
        self._handle_response(response, started_at)
        return BATCH_SECONDS if response.records else 0.0

    def _drop_early_request(self) -> None:
        """Close the connection of a request whose answer is not needed."""
        early, self._early_request = self._early_request, None
        if early is not None:
            os.close(early.descriptor)

    def _handle_other_era(self, response: Difference) -> float | None:
        """Return the pause before the next call, or None if the response applies.

        The store has returned from an older copy. Changes after a revision that it has
        assigned again lack those that were lost, so all records are read. A late answer
        of an older era is dropped.
        """
        era = self._steering.replica.version.era
        if response.era < era:
            self._on_event("store_answer_outdated", era=response.era, held=era)
            return self._backoff.record_failure()
        if response.is_snapshot:
            return None
        self._must_read_all = True
        return 0.0

    def _handle_response(self, response: Difference, started_at: Millis) -> None:
        now = self._clock()
        self._steering.warm_up.confirmation.note_running(now)
        self._backoff.record_success()
        if self._steering.store_health.note_response(now):
            self._on_event("store_back", revision=response.revision)
        self._steering.apply_changes(response, now)
        if response.is_snapshot:
            self._steering.confirm_by_snapshot(started_at)
        else:
            self._steering.confirm_by_watch(started_at, now, WATCH_WAIT_MILLIS)

    def _handle_refusal(self, refused: Refused) -> float:
        if refused.kind is ErrorKind.HISTORY_GONE:
            self._must_read_all = True
            self._on_event("store_history_gone", detail=refused.detail)
            return 0.0
        if self._steering.store_health.note_failure(self._clock()):
            self._on_event("store_lost", kind=refused.kind, detail=refused.detail)
        n_preceding = self._steering.members.n_preceding(self._clock())
        rank_backoff = min(MAX_RANK_BACKOFF_SECONDS, n_preceding * RANK_BACKOFF_SECONDS)
        return self._backoff.record_failure() + rank_backoff


class Registration:
    """Maintains this balancer's own record in the store under a lease.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    name : str
        Name of this balancer.
    record : bytes
        Encoded record.
    min_lease : Millis
        Shortest lease that the store grants.
    calls_per_second : float
        Rate limit of the store for all balancers.
    n_members : callable
        Returns the number of balancers.
    era : callable
        Returns the era of the store.
    random : Random
        Source of jitter.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        client: StoreClient,
        name: str,
        record: bytes,
        *,
        min_lease: Millis,
        calls_per_second: float,
        n_members: Callable[[], int],
        era: Callable[[], int],
        random: Random,
        on_event: EventSink,
    ) -> None:
        self._client = client
        self._name = name
        self._record = record
        self._calls_per_second = calls_per_second
        self._n_members = n_members
        self._era = era
        self._written_era = 0
        self._lease_millis = max(LEASE_MILLIS, min_lease)
        self._random = random
        self._on_event = on_event
        self._backoff = ExponentialBackoff(
            FIRST_REGISTRATION_BACKOFF_SECONDS, RENEWAL_SECONDS, random
        )
        self._lease: int | None = None

    def replace_client(self, client: StoreClient) -> None:
        """Use another client from the next call on."""
        self._client = client

    def run(self) -> None:
        """Register, then renew the lease forever."""
        while True:
            refused = self._register_or_renew()
            if isinstance(refused, Refused):
                gevent.sleep(self._backoff.record_failure())
                continue
            self._backoff.record_success()
            self._wait_until_due()

    def deregister(self, client: StoreClient) -> None:
        """Revoke the lease, which deletes the record; if that fails, it expires.

        Parameters
        ----------
        client : StoreClient
            A client without other calls: a renewal may be waiting for its answer, and
            a connection carries one call at a time.
        """
        if self._lease is not None:
            client.revoke_lease(self._lease)
            self._lease = None

    def _register_or_renew(self) -> None | Refused:
        if self._lease is not None:
            refused = self._client.renew_lease(self._lease)
            if isinstance(refused, Refused) and refused.kind is ErrorKind.NOT_FOUND:
                self._on_event("lease_ended", lease=self._lease)
                self._lease = None
            elif isinstance(refused, Refused) or not self._may_be_lost():
                return refused
            else:
                return self._write(self._lease)
        lease = self._client.grant_lease(self._lease_millis)
        if isinstance(lease, Refused):
            return lease
        return self._write(lease)

    def _write(self, lease: int) -> None | Refused:
        """Write the record under a lease, which is kept if that succeeds."""
        era = self._era()
        refused = self._client.put_member(self._name, self._record, lease)
        if isinstance(refused, Refused):
            self._lease = None
            return refused
        self._lease = lease
        self._written_era = era
        self._on_event("registered", lease=lease)
        return None

    def _may_be_lost(self) -> bool:
        """Return whether the store returned from a copy since the last write."""
        return self._era() > self._written_era

    def _wait_until_due(self) -> None:
        """Wait until the lease has to be renewed, or the record written again."""
        due_seconds = RENEWAL_SECONDS * self._random.uniform(0.8, 1.0)
        for _ in range(int(due_seconds / ERA_CHECK_SECONDS)):
            gevent.sleep(ERA_CHECK_SECONDS)
            if self._may_be_lost():
                gevent.sleep(self._restored_pause())
                return

    def _restored_pause(self) -> float:
        """Return a random pause that keeps all balancers within the rate limit."""
        calls_per_second = RESTORED_CALL_SHARE * self._calls_per_second
        seconds = self._n_members() * CALLS_PER_REGISTRATION / calls_per_second
        return max(RESTORED_SPREAD_SECONDS, seconds) * self._random.random()
