"""Resource API: declared services and rollout status, as JSON over HTTP."""

import time
from collections import Counter
from typing import Any

import falcon
import gevent
from pydantic import Field

from stoattray_balancer._api_bodies import read_body, validate
from stoattray_balancer._api_context import ApiContext
from stoattray_balancer._api_errors import add_error_handlers
from stoattray_balancer._api_evacuations import (
    EvacuationResource,
    EvacuationsResource,
    evacuations_in_force,
)
from stoattray_balancer._declarations import DeclaredService
from stoattray_balancer._in_force_report import report_in_force
from stoattray_balancer._logs import log_event
from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import BackendServerModel, Model, ServiceModel

MAX_WAIT_SECONDS = 60.0
STATUS_POLL_SECONDS = 0.05


class ServiceChange(Model):
    """Body of a request that declares a service."""

    revision: int = Field(ge=0)
    service: ServiceModel


class BackendServerChange(Model):
    """Body of a request that declares one backend server."""

    revision: int = Field(ge=1)
    backend_server: BackendServerModel


class OrganisationsResource:
    """``/v1/organisations``."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the organisations that the token grants access to."""
        allowed = self._context.tokens.authenticate(request.auth)
        counts: Counter[str] = Counter()
        for declared in self._context.declarations.list_in_force(allowed):
            if declared.service is not None:
                counts[declared.service.organisation] += 1
        items = [{"name": name, "n_services": counts[name]} for name in sorted(counts)]
        response.media = {"items": items}


class ServicesResource:
    """``/v1/organisations/{organisation}/services``."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(
        self, request: falcon.Request, response: falcon.Response, organisation: str
    ) -> None:
        """List the services in force on this balancer."""
        self._context.tokens.authorise(request.auth, organisation)
        services = self._context.declarations.list_in_force(organisation)
        response.media = {
            "revision": self._context.core.config_revision,
            "items": [_to_json(declared) for declared in services],
        }


class ServiceResource:
    """``/v1/organisations/{organisation}/services/{name}``."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(
        self,
        request: falcon.Request,
        response: falcon.Response,
        organisation: str,
        name: str,
    ) -> None:
        """Return a service as the platform's store holds it."""
        self._context.tokens.authorise(request.auth, organisation)
        self._context.telemetry.record_span("api to platform", operation="get")
        declared = self._context.declarations.get(organisation, name)
        _require_service(declared, organisation, name)
        report = report_in_force(self._context.core, declared.revision)
        response.media = {**_to_json(declared), "status": report.to_json()}

    def on_put(
        self,
        request: falcon.Request,
        response: falcon.Response,
        organisation: str,
        name: str,
    ) -> None:
        """Create or change a service, or preview the change if ``dry_run`` is set."""
        self._context.tokens.authorise(request.auth, organisation)
        change = read_body(request, ServiceChange)
        _check_name(change.service, organisation, name)
        self._context.telemetry.record_span("api to platform", operation="put")
        if request.get_param_as_bool("dry_run"):
            response.media = self._preview(change)
            return
        revision = self._context.declarations.put(change.service, change.revision)
        response.media = {"revision": revision}
        log_event("service_declared", service=change.service.service, revision=revision)

    def on_delete(
        self,
        request: falcon.Request,
        response: falcon.Response,
        organisation: str,
        name: str,
    ) -> None:
        """Delete a service."""
        self._context.tokens.authorise(request.auth, organisation)
        expected = request.get_param_as_int("revision", required=True, min_value=1)
        self._context.telemetry.record_span("api to platform", operation="delete")
        revision = self._context.declarations.delete(organisation, name, expected)
        response.media = {"revision": revision}
        log_event("service_deleted", service=f"{organisation}/{name}")

    def _preview(self, change: ServiceChange) -> dict[str, Any]:
        service = change.service
        before = self._context.declarations.get(service.organisation, service.name)
        if before.revision != change.revision:
            reason = (
                f"revision {change.revision} was given, "
                f"the current one is {before.revision}"
            )
            raise StoattrayError(ErrorKind.CONFLICT, reason)
        return {
            "revision": before.revision,
            "before": _to_json(before)["service"],
            "after": service.model_dump(mode="json"),
        }


class BackendServerResource:
    """``/v1/organisations/{o}/services/{s}/backend-servers/{b}``."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_put(
        self,
        request: falcon.Request,
        response: falcon.Response,
        organisation: str,
        name: str,
        server: str,
    ) -> None:
        """Add or change one backend server of a service."""
        self._context.tokens.authorise(request.auth, organisation)
        change = read_body(request, BackendServerChange)
        if change.backend_server.name != server:
            reason = (
                f"backend_server.name={change.backend_server.name!r}: "
                f"expected {server!r}"
            )
            raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
        updated = self._replace_server(
            organisation, name, server, change.backend_server
        )
        response.media = {"revision": self._put(updated, change.revision)}

    def on_delete(
        self,
        request: falcon.Request,
        response: falcon.Response,
        organisation: str,
        name: str,
        server: str,
    ) -> None:
        """Remove one backend server from a service."""
        self._context.tokens.authorise(request.auth, organisation)
        expected = request.get_param_as_int("revision", required=True, min_value=1)
        updated = self._replace_server(organisation, name, server, None)
        response.media = {"revision": self._put(updated, expected)}

    def _put(self, service: ServiceModel, expected: int) -> int:
        self._context.telemetry.record_span("api to platform", operation="put")
        return self._context.declarations.put(service, expected)

    def _replace_server(
        self,
        organisation: str,
        name: str,
        server: str,
        replacement: BackendServerModel | None,
    ) -> ServiceModel:
        declared = self._context.declarations.get(organisation, name)
        service = _require_service(declared, organisation, name)
        servers = list(service.spec.backend_servers)
        positions = [index for index, item in enumerate(servers) if item.name == server]
        if replacement is None and not positions:
            reason = f"backend server {server!r} does not exist"
            raise StoattrayError(ErrorKind.NOT_FOUND, reason)
        if replacement is None:
            del servers[positions[0]]
        elif positions:
            servers[positions[0]] = replacement
        else:
            servers.append(replacement)
        spec = service.spec.model_dump(mode="json")
        spec["backend_servers"] = [item.model_dump(mode="json") for item in servers]
        return validate(
            ServiceModel,
            {"organisation": organisation, "name": name, "spec": spec},
        )


class StatusResource:
    """``/v1/status``: which balancers serve a revision."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the report once the revision is in force or the wait has ended."""
        allowed = self._context.tokens.authenticate(request.auth)
        core = self._context.core
        default = core.config_revision
        revision = request.get_param_as_int("revision", min_value=0, default=default)
        wait = request.get_param_as_float(
            "wait_seconds", min_value=0.0, max_value=MAX_WAIT_SECONDS, default=0.0
        )
        deadline = time.monotonic() + wait
        report = report_in_force(core, revision)
        while not report.in_force and time.monotonic() < deadline:
            self._context.request_revisions(revision)
            gevent.sleep(STATUS_POLL_SECONDS)
            report = report_in_force(core, revision)
        evacuations = evacuations_in_force(self._context, allowed)
        response.media = {**report.to_json(), "evacuations": evacuations}


class CountersResource:
    """``/v1/counters``: event counts since the start of this process."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return event counts by name."""
        self._context.tokens.authenticate(request.auth)
        counts = self._context.counters()
        response.media = {str(name): counts[name] for name in sorted(counts)}


class ReadinessResource:
    """``/v1/ready``: whether this balancer forwards packets."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Respond with status 200 if ready, else 503."""
        core = self._context.core
        response.media = {"status": core.status.name.lower()}
        response.status = 200 if core.is_ready else 503


def build_app(context: ApiContext) -> falcon.App:
    """Return the WSGI application."""
    app = falcon.App()
    add_error_handlers(app)
    base = "/v1/organisations/{organisation}/services"
    app.add_route("/v1/organisations", OrganisationsResource(context))
    app.add_route(base, ServicesResource(context))
    app.add_route(base + "/{name}", ServiceResource(context))
    servers = base + "/{name}/backend-servers/{server}"
    app.add_route(servers, BackendServerResource(context))
    app.add_route("/v1/evacuations", EvacuationsResource(context))
    app.add_route("/v1/evacuations/{data_centre}", EvacuationResource(context))
    app.add_route("/v1/status", StatusResource(context))
    app.add_route("/v1/counters", CountersResource(context))
    app.add_route("/v1/ready", ReadinessResource(context))
    return app


def _to_json(declared: DeclaredService) -> dict[str, Any]:
    service = declared.service
    return {
        "revision": declared.revision,
        "service": service.model_dump(mode="json") if service is not None else None,
    }


def _require_service(
    declared: DeclaredService, organisation: str, name: str
) -> ServiceModel:
    if declared.service is None:
        reason = f"service {organisation}/{name} does not exist"
        raise StoattrayError(ErrorKind.NOT_FOUND, reason)
    return declared.service


def _check_name(service: ServiceModel, organisation: str, name: str) -> None:
    if service.service != f"{organisation}/{name}":
        reason = f"service={service.service!r}: expected '{organisation}/{name}'"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
