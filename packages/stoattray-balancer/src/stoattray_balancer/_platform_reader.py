"""Synchronizes the core's configuration with the platform's store."""

from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event

from stoattray_balancer._config_store import ConfigStore
from stoattray_balancer._logs import log_event
from stoattray_balancer._store import Store
from stoattray_balancer._throttling import ExponentialBackoff
from stoattray_core import Core

FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
RECHECK_SECONDS = 1.0


class PlatformReader:
    """Reads the store on each watch event and periodically, with backoff.

    Parameters
    ----------
    core : Core
        Determines whether this balancer is a reader.
    config_store : ConfigStore
        Reads the changes and passes them to the core.
    store : Store
        Watched for changes.
    poll_seconds : float
        Interval of reads without a watch event.
    random : Random
        Source of jitter.
    """

    def __init__(
        self,
        core: Core,
        config_store: ConfigStore,
        store: Store,
        *,
        poll_seconds: float,
        random: Random,
    ) -> None:
        self._core = core
        self._config_store = config_store
        self._store = store
        self._poll_seconds = poll_seconds
        self._random = random
        self._change_event = Event()
        self._backoff = ExponentialBackoff(
            FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, random
        )

    def poll_forever(self) -> None:
        """Read changes while this balancer should; never returns."""
        while True:
            if not self._should_read():
                gevent.sleep(RECHECK_SECONDS)
                continue
            self._change_event.clear()
            if self._config_store.refresh():
                self._record_success()
                self._change_event.wait(self._poll_seconds)
            else:
                gevent.sleep(self._record_failure("read"))

    def watch_forever(self) -> None:
        """Watch for changes and trigger a read on each; never returns."""
        while True:
            if self._should_read():
                for _ in self._store.watch(self._core.config_revision):
                    self._change_event.set()
                    if not self._should_read():
                        break
            gevent.sleep(RECHECK_SECONDS * (1 + self._random.random()))

    def _should_read(self) -> bool:
        """Return whether this balancer is a reader or has no configuration yet."""
        return self._core.is_reader or self._core.config_revision == 0

    def _record_success(self) -> None:
        if self._backoff.n_failures:
            log_event("platform_back", n_failures=self._backoff.n_failures)
        self._backoff.record_success()

    def _record_failure(self, operation: str) -> float:
        """Log the first of consecutive failures; return the delay in seconds."""
        if self._backoff.n_failures == 0:
            log_event("platform_unreachable", call=operation)
        return self._backoff.record_failure()


def restart_on_error(action: Callable[[], None], name: str) -> Callable[[], None]:
    """Return a function that runs `action` and restarts it whenever it ends.

    Unexpected errors are logged under the task's `name`.
    """

    def run() -> None:
        while True:
            try:
                action()
            except Exception as error:  # noqa: BLE001 - the process must keep running
                log_event("task_failed", task=name, error=repr(error))
                gevent.sleep(RECHECK_SECONDS)

    return run
