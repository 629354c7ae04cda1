"""The path of one flow or backend server across balancers, in order of time."""

from collections.abc import Iterable, Iterator

from stoattray_operator._log_lines import LogLine

BELIEFS = frozenset(
    {
        "backend_server",
        "backend_server_answers",
        "backend_server_gone",
        "backend_server_silent",
    }
)
"""Events about a backend server that explain where flows went."""

DEPENDENCIES = frozenset(
    {
        "configuration_in_force",
        "store_back",
        "store_lost",
        "woke",
        "started",
        "stopping",
    }
)
"""Events of a balancer that explain its decisions."""


def explain(lines: Iterable[LogLine], wanted: str) -> Iterator[str]:
    """Yield one line for each event that bears on `wanted`.

    Parameters
    ----------
    lines : iterable of LogLine
        Events of any number of balancers, in any order.
    wanted : str
        A flow's id, one of its ends as address and port, or a backend server.
    """
    ordered = sorted(lines, key=lambda line: line.when)
    named = [line for line in ordered if line.names(wanted)]
    if not named:
        return
    servers = {
        line.fields[name]
        for line in named
        for name in ("server", "silent")
        if name in line.fields
    }
    origins = {line.origin for line in named}
    last = named[-1].when
    for line in ordered:
        if line.when > last:
            return
        is_belief = line.event in BELIEFS and line.fields.get("server") in servers
        is_dependency = line.event in DEPENDENCIES and line.origin in origins
        if line in named or is_belief or is_dependency:
            yield _describe(line, is_named=line in named)


def _describe(line: LogLine, *, is_named: bool) -> str:
    mark = "*" if is_named else " "
    pairs = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{mark} {line.when} {line.origin} {line.event} {pairs}".rstrip()
