"""Explains a flow or backend server by the log events of all balancers."""

from collections.abc import Iterable, Iterator

from stoattray_operator._log_lines import LogLine

SERVER_HEALTH_EVENTS = frozenset(
    {
        "backend_server",
        "backend_server_answers",
        "backend_server_gone",
        "backend_server_silent",
    }
)
"""Events about a backend server that explain where its flows were sent."""

BALANCER_STATE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "store_back",
        "store_lost",
        "woke",
        "started",
        "stopping",
    }
)
"""Events about a balancer's own state that explain its decisions."""


def explain(lines: Iterable[LogLine], subject: str) -> Iterator[str]:
    """Yield one line per event relevant to a subject, in order of time.

    Lines that mention the subject are marked with an asterisk. The others, up to the
    last marked line, are state changes of the balancers that logged marked lines and
    of the backend servers named in them.

    Parameters
    ----------
    lines : iterable of LogLine
        Events of any number of balancers, in any order.
    subject : str
        Id of a flow, ``address:port`` of one of its endpoints, or a backend server.
    """
    ordered = sorted(lines, key=lambda line: line.timestamp)
    matching = [line for line in ordered if line.mentions(subject)]
    if not matching:
        return
    servers = {
        line.fields[name]
        for line in matching
        for name in ("server", "silent")
        if name in line.fields
    }
    origins = {line.origin for line in matching}
    last = matching[-1].timestamp
    for line in ordered:
        if line.timestamp > last:
            return
        is_server_health = (
            line.event in SERVER_HEALTH_EVENTS and line.fields.get("server") in servers
        )
        is_balancer_state = (
            line.event in BALANCER_STATE_EVENTS and line.origin in origins
        )
        if line in matching or is_server_health or is_balancer_state:
            yield _format_line(line, is_match=line in matching)


def _format_line(line: LogLine, *, is_match: bool) -> str:
    mark = "*" if is_match else " "
    pairs = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{mark} {line.timestamp} {line.origin} {line.event} {pairs}".rstrip()
