"""Which backend servers are treated as cold.

A server is cold for the time that its record states, counted from the record's arrival.
A server that was silent may have started again while its new record is still on the
way, and the servers of a data centre may have during an evacuation. They are treated as
cold, too, until the time of the service's warm-up has passed.
"""

from collections.abc import Callable

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import WarmUp
from stoattray_core.steering.servers import ServerRow

MIN_RESTART_MILLIS = 300
"""Least time in which a server can fail and start again. A shorter silence is a late
answer: a busy balancer finds servers silent after 30 ms and hears them 100 ms later."""


class ColdServers:
    """Tells which servers are cold, at no cost for services without any.

    Parameters
    ----------
    warm_up : callable
        Returns the warm-up of a service, or None if the service has no limit.
    evacuation_ended_at : callable
        Returns when this balancer saw the last evacuation of a data centre end, or
        None if it saw none.
    """

    def __init__(
        self,
        warm_up: Callable[[str], WarmUp | None],
        evacuation_ended_at: Callable[[str], Millis | None],
    ) -> None:
        self._warm_up = warm_up
        self._evacuation_ended_at = evacuation_ended_at
        self._service_until: dict[str, Millis] = {}
        self._cut_off_until: dict[str, Millis] = {}
        self._answered_at: dict[str, Millis] = {}
        self._data_centres: set[str] = set()

    def note_record(self, server: ServerRow) -> None:
        """Note a new record of a server."""
        self._data_centres.add(server.entry.data_centre)
        self._note_service(server, server.warm_at)

    def note_silence(
        self, server: ServerRow, sent_at: Millis, cut_off_until: Millis, now: Millis
    ) -> None:
        """Note that a server, or its whole data centre, became suspect for silence.

        Parameters
        ----------
        server : ServerRow
            The server.
        sent_at : Millis
            When the opening that it left unanswered was sent.
        cut_off_until : Millis
            Until when its data centre is suspect; 0 if it is not.
        now : Millis
            Current time.
        """
        if self._warm_up(server.entry.service) is None:
            return
        if server.silent_since is None:
            server.silent_since = sent_at
        if server.suspect_until > now:
            self._note_service(server, server.suspect_until)
        if cut_off_until > now:
            self._cut_off_until[server.entry.data_centre] = cut_off_until

    def note_answer(self, server: ServerRow, sent_at: Millis, now: Millis) -> None:
        """Note that a server answered an opening.

        Parameters
        ----------
        server : ServerRow
            The server.
        sent_at : Millis
            When the opening was sent.
        now : Millis
            Current time.
        """
        silent_since, server.silent_since = server.silent_since, None
        warm_up = self._warm_up(server.entry.service)
        if warm_up is None:
            return
        if silent_since is not None and sent_at - silent_since >= MIN_RESTART_MILLIS:
            server.maybe_cold_until = now + warm_up.millis
            self._note_service(server, server.maybe_cold_until)
        if self._cut_off_until.get(server.entry.data_centre, 0) > now:
            del self._cut_off_until[server.entry.data_centre]
            self._answered_at[server.entry.data_centre] = now

    def may_have_cold(self, service: str, now: Millis) -> bool:
        """Return whether any server of a service may be cold."""
        warm_up = self._warm_up(service)
        if warm_up is None:
            return False
        return self._service_until.get(service, 0) > now or any(
            self._is_data_centre_cold(data_centre, warm_up, now)
            for data_centre in self._data_centres
        )

    def is_cold(self, server: ServerRow, now: Millis) -> bool:
        """Return whether a server is treated as cold."""
        warm_up = self._warm_up(server.entry.service)
        if warm_up is None:
            return False
        return (
            now < server.warm_at
            or now < server.suspect_until
            or now < server.maybe_cold_until
            or self._is_data_centre_cold(server.entry.data_centre, warm_up, now)
        )

    def _is_data_centre_cold(
        self, data_centre: str, warm_up: WarmUp, now: Millis
    ) -> bool:
        if now < self._cut_off_until.get(data_centre, 0):
            return True
        for at in (
            self._evacuation_ended_at(data_centre),
            self._answered_at.get(data_centre),
        ):
            if at is not None and now - at < warm_up.millis:
                return True
        return False

    def _note_service(self, server: ServerRow, until: Millis) -> None:
        service = server.entry.service
        self._service_until[service] = max(until, self._service_until.get(service, 0))
