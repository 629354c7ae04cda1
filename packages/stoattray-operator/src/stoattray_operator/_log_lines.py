"""Reading log lines of key=value pairs as balancers write them."""

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
        Balancer or file that it came from.
    when : str
        Time, in a form that sorts.
    event : str
        Kind of event.
    fields : dict of str to str
        The other pairs.
    """

    origin: str
    when: str
    event: str
    fields: dict[str, str]

    def names(self, wanted: str) -> bool:
        """Return whether a field is `wanted`, or a flow with that end."""
        return any(
            value == wanted or wanted in re.split("[>,]", value)
            for value in self.fields.values()
        )


def read_log_lines(lines: Iterable[str], origin: str) -> Iterator[LogLine]:
    """Yield the events among `lines`; other lines are passed over.

    Parameters
    ----------
    lines : iterable of str
        Lines of one file; what stands before the time names the balancer.
    origin : str
        Name for lines with nothing before the time.
    """
    for line in lines:
        start = line.find("time=")
        if start < 0:
            continue
        pairs = {name: _value(text) for name, text in _PAIR.findall(line[start:])}
        if "event" not in pairs:
            continue
        before = line[:start].split()
        when, event = pairs.pop("time"), pairs.pop("event")
        pairs.pop("level", None)
        if event == "started" and not before:
            origin = pairs.get("member", origin)
        yield LogLine(before[-1] if before else origin, when, event, pairs)


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text
