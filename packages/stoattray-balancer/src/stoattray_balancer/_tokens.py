"""Bearer tokens of the resource API and the organisations they grant access to."""

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
    """One token, stored as its SHA-256 digest."""

    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    organisation: str = Field(pattern=r"^(\*|[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)$")


_TOKEN_LIST = TypeAdapter(list[Token])


def load_tokens(path: Path) -> list[Token]:
    """Read and validate a tokens file.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT if the file does not hold a list of tokens, or TOO_LARGE.
    """
    text = read_bounded(path, MAX_TOKENS_FILE_BYTES)
    try:
        return _TOKEN_LIST.validate_json(text)
    except ValidationError as error:
        reason = f"{path}: {describe_validation_error(error)}"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


class TokenAuth:
    """Authenticates and authorises requests by bearer token.

    Parameters
    ----------
    tokens : list of Token or None
        None disables authentication and grants access to everything.
    """

    def __init__(self, tokens: list[Token] | None) -> None:
        self._tokens = tokens

    def replace(self, tokens: list[Token]) -> None:
        """Replace all tokens."""
        self._tokens = tokens

    def authenticate(self, authorization: str | None) -> str:
        """Return the organisation that a request's token belongs to.

        Parameters
        ----------
        authorization : str or None
            Value of the ``Authorization`` header.

        Returns
        -------
        str
            Name of the organisation, or ``*`` for all.

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
        """Raise unless a request's token grants access to `organisation`.

        Raises
        ------
        StoattrayError
            UNAUTHENTICATED, or NOT_FOUND, which does not disclose whether another
            organisation exists.
        """
        allowed = self.authenticate(authorization)
        if allowed not in (ANY_ORGANISATION, organisation):
            reason = f"organisation {organisation!r} is not known to this token"
            raise StoattrayError(ErrorKind.NOT_FOUND, reason)
