"""Resources of the API for evacuations of data centres."""

from typing import Any

import falcon
from pydantic import Field

from stoattray_balancer._api_bodies import read_body, validate
from stoattray_balancer._api_context import ApiContext
from stoattray_balancer._evacuations import not_evacuated
from stoattray_balancer._logs import log_event
from stoattray_balancer._tokens import ANY_ORGANISATION
from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import EvacuationModel, Model


class EvacuationChange(Model):
    """Body of a request that evacuates a data centre."""

    revision: int = Field(ge=0)


class EvacuationsResource:
    """``/v1/evacuations``."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the evacuations in force on this balancer."""
        allowed = self._context.tokens.authenticate(request.auth)
        response.media = {
            "revision": self._context.core.config_revision,
            "items": evacuations_in_force(self._context, allowed),
        }


class EvacuationResource:
    """``/v1/evacuations/{data_centre}``."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(
        self, request: falcon.Request, response: falcon.Response, data_centre: str
    ) -> None:
        """Return an evacuation as the platform's store holds it."""
        allowed = self._context.tokens.authenticate(request.auth)
        name = _read_name(data_centre).data_centre
        self._context.telemetry.record_span("api to platform", operation="get")
        declared = self._context.evacuations.get(name)
        if declared.revision == 0:
            raise not_evacuated(name)
        response.media = _to_json(self._context, name, declared.revision, allowed)

    def on_put(
        self, request: falcon.Request, response: falcon.Response, data_centre: str
    ) -> None:
        """Evacuate a data centre; warn if no declared server is in it."""
        _authorise_change(self._context, request)
        evacuation = _read_name(data_centre)
        change = read_body(request, EvacuationChange)
        self._context.telemetry.record_span("api to platform", operation="put")
        revision = self._context.evacuations.put(evacuation, change.revision)
        n_servers = _count_servers(
            self._context, evacuation.data_centre, ANY_ORGANISATION
        )
        warnings = []
        if n_servers == 0:
            warnings.append(
                f"data_centre={data_centre!r}: no backend server in force has this "
                "data_centre; the evacuation has no effect yet"
            )
        response.media = {
            "revision": revision,
            "n_servers": n_servers,
            "warnings": warnings,
        }
        log_event(
            "evacuation_declared",
            data_centre=data_centre,
            revision=revision,
            n_servers=n_servers,
        )

    def on_delete(
        self, request: falcon.Request, response: falcon.Response, data_centre: str
    ) -> None:
        """End an evacuation."""
        _authorise_change(self._context, request)
        name = _read_name(data_centre).data_centre
        expected = request.get_param_as_int("revision", required=True, min_value=1)
        self._context.telemetry.record_span("api to platform", operation="delete")
        revision = self._context.evacuations.delete(name, expected)
        response.media = {"revision": revision}
        log_event("evacuation_ended", data_centre=name, revision=revision)


def evacuations_in_force(context: ApiContext, allowed: str) -> list[dict[str, Any]]:
    """Return the evacuations in force on this balancer as JSON objects.

    Parameters
    ----------
    context : ApiContext
        Source of evacuations and services.
    allowed : str
        Organisation whose backend servers are counted; ``*`` for all.
    """
    return [
        _to_json(context, item.data_centre, item.revision, allowed)
        for item in context.evacuations.list_in_force()
    ]


def _to_json(
    context: ApiContext, data_centre: str, revision: int, allowed: str
) -> dict[str, Any]:
    return {
        "data_centre": data_centre,
        "revision": revision,
        "n_servers": _count_servers(context, data_centre, allowed),
    }


def _count_servers(context: ApiContext, data_centre: str, allowed: str) -> int:
    """Return the number of declared backend servers in a data centre."""
    return sum(
        server.data_centre == data_centre
        for declared in context.declarations.list_in_force(allowed)
        if declared.service is not None
        for server in declared.service.spec.backend_servers
    )


def _authorise_change(context: ApiContext, request: falcon.Request) -> None:
    """Require access to all organisations, as an evacuation concerns all of them."""
    allowed = context.tokens.authenticate(request.auth)
    if allowed != ANY_ORGANISATION:
        reason = (
            f"the token is for organisation {allowed!r}; an evacuation concerns all "
            "organisations: expected a token for '*'"
        )
        raise StoattrayError(ErrorKind.FORBIDDEN, reason)


def _read_name(data_centre: str) -> EvacuationModel:
    return validate(EvacuationModel, {"data_centre": data_centre})
