"""Bearer tokens of the resource API and what each may do."""

import hashlib
import hmac
from pathlib import Path

from pydantic import Field, TypeAdapter, ValidationError

from stoattray_balancer.settings import read_bounded
from stoattray_core import ErrorKind, StoattrayError
from stoattray_core.resources import Model, describe_validation_error

MAX_TOKENS_FILE_BYTES = 262_144
ANY_ORGANISATION = "*"
BEARER_PREFIX = "Bearer "


class Token(Model):
    """One token, known by its digest."""

    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    organisation: str = Field(pattern=r"^(\*|[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)$")


_TOKEN_LIST = TypeAdapter(list[Token])


def load_tokens(path: Path) -> list[Token]:
    """Read tokens.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT if the file holds no list of tokens.
    """
    text = read_bounded(path, MAX_TOKENS_FILE_BYTES)
    try:
        return _TOKEN_LIST.validate_json(text)
    except ValidationError as error:
        reason = f"{path}: {describe_validation_error(error)}"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


class TokenAuth:
    """Tells which organisation a request speaks for.

    Parameters
    ----------
    tokens : list of Token or None
        None lets every caller do everything.
    """

    def __init__(self, tokens: list[Token] | None) -> None:
        self._tokens = tokens

    def replace(self, tokens: list[Token]) -> None:
        """Change to other tokens."""
        self._tokens = tokens

    def authenticate(self, authorization: str | None) -> str:
        """Return the organisation of a request, ``*`` for all.

        Raises
        ------
        StoattrayError
            UNAUTHENTICATED if the token is missing or unknown.
        """
        if self._tokens is None:
            return ANY_ORGANISATION
        if authorization is None or not authorization.startswith(BEARER_PREFIX):
            reason = "no bearer token; expected an Authorization header"
            raise StoattrayError(ErrorKind.UNAUTHENTICATED, reason)
        secret = authorization.removeprefix(BEARER_PREFIX).encode()
        digest = hashlib.sha256(secret).hexdigest()
        for token in self._tokens:
            if hmac.compare_digest(token.token_sha256, digest):
                return token.organisation
        raise StoattrayError(ErrorKind.UNAUTHENTICATED, "unknown bearer token")

    def authorise(self, authorization: str | None, organisation: str) -> None:
        """Let a request through if it speaks for `organisation`.

        Raises
        ------
        StoattrayError
            UNAUTHENTICATED, or NOT_FOUND so that nothing of another
            organisation is told.
        """
        allowed = self.authenticate(authorization)
        if allowed not in (ANY_ORGANISATION, organisation):
            reason = f"organisation {organisation!r} is not known to this token"
            raise StoattrayError(ErrorKind.NOT_FOUND, reason)
