"""Error responses of the resource API."""

from typing import Any

import falcon

from stoattray_balancer._logs import log_event
from stoattray_core import ERROR_RESPONSES, ErrorKind, StoattrayError


def add_error_handlers(app: falcon.App) -> None:
    """Answer every error with its kind and reason as JSON."""
    app.add_error_handler(StoattrayError, _handle_error)
    app.add_error_handler(Exception, _handle_unexpected_error)
    app.add_error_handler(falcon.HTTPError, _handle_http_error)


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
