"""Parses the log lines of balancers, which are key=value pairs."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one balancer.

    Parameters
    ----------
    origin : str
        Balancer that logged it, or the file where the balancer is unknown.
    timestamp : str
        ISO 8601 time in UTC; sorts as text.
    event : str
        Kind of event.
    fields : dict of str to str
        All other pairs but the log level.
    """

    origin: str
    timestamp: str
    event: str
    fields: dict[str, str]

    def mentions(self, subject: str) -> bool:
        """Return whether a field equals `subject` or is a flow with that endpoint."""
        return any(
            value == subject or subject in re.split("[>,]", value)
            for value in self.fields.values()
        )


def read_log_lines(lines: Iterable[str], origin: str) -> Iterator[LogLine]:
    """Yield the events in `lines`; other lines are skipped.

    Parameters
    ----------
    lines : iterable of str
        Lines of one file; a word before ``time=`` names the balancer.
    origin : str
        Origin of lines without such a word, until a ``started`` event names the
        balancer.
    """
    for line in lines:
        time_index = line.find("time=")
        if time_index < 0:
            continue
        pairs = {
            name: _unquote(text) for name, text in _PAIR.findall(line[time_index:])
        }
        if "event" not in pairs:
            continue
        prefix = line[:time_index].split()
        timestamp, event = pairs.pop("time"), pairs.pop("event")
        pairs.pop("level", None)
        if event == "started" and not prefix:
            origin = pairs.get("member", origin)
        yield LogLine(prefix[-1] if prefix else origin, timestamp, event, pairs)


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text
