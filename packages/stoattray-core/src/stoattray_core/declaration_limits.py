"""Limits of the decision core that a declaration can contradict.

Tools that check declarations use these figures instead of copies of them.
"""

from stoattray_core._core_settings import CoreSettings
from stoattray_core._flow_activity import (
    CHECK_PERIOD_MILLIS,
    USE_REPORTS_PER_IDLE_LIMIT,
)
from stoattray_core._hashing import maglev_table
from stoattray_core._identifiers import Millis, ServerId
from stoattray_core.configuration import ServerState, ServiceSpec

MIN_REPORTED_IDLE_MILLIS: Millis = USE_REPORTS_PER_IDLE_LIMIT * CHECK_PERIOD_MILLIS
"""Shortest idle limit within which the use of a flow is reported as often as intended.

Balancers report the use of flows to the owner in the periodic check, at most once
per period. Below this limit, fewer reports fit into one idle limit.
"""

RESET_DELAY_MILLIS: Millis = CoreSettings().reset_delay_millis
"""Time for which a verdict of the health checks must last to reset open flows."""


def shards_by_server(spec: ServiceSpec) -> dict[ServerId, int]:
    """Return the number of shards that each active backend server gets.

    Parameters
    ----------
    spec : ServiceSpec
        The service; all of its active servers are taken as healthy.
    """
    active = [item for item in spec.servers if item.state is ServerState.ACTIVE]
    table = maglev_table(
        [item.server for item in active], [item.weight for item in active]
    )
    counts = {item.server: 0 for item in active}
    for server in table:
        counts[server] += 1
    return counts
