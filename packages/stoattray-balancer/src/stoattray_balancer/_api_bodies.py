"""Validation of request bodies of the resource API."""

from typing import Any, TypeVar

import falcon
from pydantic import ValidationError

from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import (
    MAX_SERVICE_BYTES,
    Model,
    describe_validation_error,
)

ModelT = TypeVar("ModelT", bound=Model)

MAX_BODY_BYTES = 2 * MAX_SERVICE_BYTES


def read_body(request: falcon.Request, model: type[ModelT]) -> ModelT:
    """Return the model that a request's body holds as JSON.

    Raises
    ------
    StoattrayError
        TOO_LARGE or INVALID_ARGUMENT.
    """
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


def validate(model: type[ModelT], value: dict[str, Any]) -> ModelT:
    """Return the model of a JSON object.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT, with the key, the value and what was expected.
    """
    try:
        return model.model_validate(value)
    except ValidationError as error:
        reason = describe_validation_error(error)
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None
