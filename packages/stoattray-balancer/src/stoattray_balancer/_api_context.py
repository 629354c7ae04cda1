"""Dependencies of the resource API."""

from collections.abc import Callable
from dataclasses import dataclass

from stoattray_balancer._declarations import Declarations
from stoattray_balancer._evacuations import Evacuations
from stoattray_balancer._telemetry import Telemetry
from stoattray_balancer._tokens import TokenAuth
from stoattray_core import Core


@dataclass(frozen=True, slots=True)
class ApiContext:
    """Dependencies shared by the API's resources.

    Parameters
    ----------
    core : Core
        Source of the configuration in force and of the members.
    declarations : Declarations
        Reads and changes declared services.
    evacuations : Evacuations
        Reads and changes evacuations of data centres.
    tokens : TokenAuth
        Authenticates and authorises requests.
    telemetry : Telemetry
        Records a span for each call to the platform.
    request_revisions : callable
        Pings each balancer that is not known to serve the given revision.
    counters : callable
        Returns event counts by name.
    """

    core: Core
    declarations: Declarations
    evacuations: Evacuations
    tokens: TokenAuth
    telemetry: Telemetry
    request_revisions: Callable[[int], None]
    counters: Callable[[], dict[str, int]]
