"""Resource API: declared services and rollout status, as JSON over HTTP."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import falcon
import gevent
from pydantic import Field, ValidationError

from stoattray_balancer._declarations import Declarations, DeclaredService
from stoattray_balancer._in_force_report import report_in_force
from stoattray_balancer._logs import log_event
from stoattray_balancer._telemetry import Telemetry
from stoattray_balancer._tokens import TokenAuth
from stoattray_core import ERROR_RESPONSES, Core, ErrorKind, StoattrayError
from stoattray_core.resources import (
    MAX_SERVICE_BYTES,
    BackendServerModel,
    Model,
    ServiceModel,
    describe_validation_error,
)

ModelT = TypeVar("ModelT", bound=Model)

MAX_BODY_BYTES = 2 * MAX_SERVICE_BYTES
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


@dataclass(frozen=True, slots=True)
class ApiContext:
    """Dependencies shared by the API's resources.

    Parameters
    ----------
    core : Core
        Source of the configuration in force and of the members.
    declarations : Declarations
        Reads and changes declared services.
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
    tokens: TokenAuth
    telemetry: Telemetry
    request_revisions: Callable[[int], None]
    counters: Callable[[], dict[str, int]]


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
        change = _read_body(request, ServiceChange)
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
        change = _read_body(request, BackendServerChange)
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
        return _validate(
            ServiceModel,
            {"organisation": organisation, "name": name, "spec": spec},
        )


class StatusResource:
    """``/v1/status``: which balancers serve a revision."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the report once the revision is in force or the wait has ended."""
        self._context.tokens.authenticate(request.auth)
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
        response.media = report.to_json()


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
    app.add_error_handler(StoattrayError, _handle_error)
    app.add_error_handler(Exception, _handle_unexpected_error)
    app.add_error_handler(falcon.HTTPError, _handle_http_error)
    base = "/v1/organisations/{organisation}/services"
    app.add_route("/v1/organisations", OrganisationsResource(context))
    app.add_route(base, ServicesResource(context))
    app.add_route(base + "/{name}", ServiceResource(context))
    servers = base + "/{name}/backend-servers/{server}"
    app.add_route(servers, BackendServerResource(context))
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


def _read_body(request: falcon.Request, model: type[ModelT]) -> ModelT:
    length = request.content_length or 0
    if length > MAX_BODY_BYTES:
        reason = f"body of {length} bytes: expected {MAX_BODY_BYTES} at most"
        raise StoattrayError(ErrorKind.TOO_LARGE, reason)
    data = request.bounded_stream.read(MAX_BODY_BYTES)
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        reason = describe_validation_error(error)
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


def _validate(model: type[ModelT], value: dict[str, Any]) -> ModelT:
    try:
        return model.model_validate(value)
    except ValidationError as error:
        reason = describe_validation_error(error)
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


def _handle_error(
    request: falcon.Request,
    response: falcon.Response,
    error: StoattrayError,
    params: dict[str, Any],
) -> None:
    response.status = error.response.http_status
    response.media = {"error": {"kind": error.kind, "reason": error.reason}}
    log_event("api_refused", kind=error.kind, path=request.path, reason=error.reason)


def _handle_http_error(
    request: falcon.Request,
    response: falcon.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    is_missing = error.status_code == 404
    kind = ErrorKind.NOT_FOUND if is_missing else ErrorKind.INVALID_ARGUMENT
    response.status = error.status
    reason = error.description or error.title or "bad request"
    response.media = {"error": {"kind": kind, "reason": reason}}


def _handle_unexpected_error(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    params: dict[str, Any],
) -> None:
    response.status = ERROR_RESPONSES[ErrorKind.INTERNAL].http_status
    response.media = {
        "error": {"kind": ErrorKind.INTERNAL, "reason": type(error).__name__}
    }
    log_event("api_failed", path=request.path, error=repr(error))
