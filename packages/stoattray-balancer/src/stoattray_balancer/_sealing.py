"""Authenticated encryption of messages between balancers.

A sealed datagram is: one byte format, one byte key id, twelve bytes nonce, then
the ciphertext of ChaCha20-Poly1305 (RFC 8439) with the first two bytes as
associated data.
"""

import base64
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from pydantic import Field, TypeAdapter, ValidationError, field_validator

from stoattray_balancer.settings import read_bounded
from stoattray_core import ErrorKind, Refused, StoattrayError
from stoattray_core.resources import Model, describe_validation_error

FORMAT = 1
KEY_BYTES = 32
NONCE_BYTES = 12
TAG_BYTES = 16
HEADER_BYTES = 2
OVERHEAD_BYTES = HEADER_BYTES + NONCE_BYTES + TAG_BYTES
MAX_KEYS_FILE_BYTES = 16_384
REPLAY_WINDOW = 4_096


class PeerKey(Model):
    """One key shared by all balancers."""

    id: int = Field(ge=0, le=255)
    secret: str

    @field_validator("secret")
    @classmethod
    def _check_secret(cls, value: str) -> str:
        try:
            raw = base64.b64decode(value, validate=True)
        except ValueError:
            raise ValueError("expected base64") from None
        if len(raw) != KEY_BYTES:
            raise ValueError(f"expected {KEY_BYTES} bytes in base64")
        return value


_KEY_LIST = TypeAdapter(Annotated[list[PeerKey], Field(min_length=1, max_length=8)])


def load_keys(path: Path) -> list[PeerKey]:
    """Read keys; the first seals, all open.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT if the file holds no usable list of keys.
    """
    text = read_bounded(path, MAX_KEYS_FILE_BYTES)
    try:
        keys = _KEY_LIST.validate_json(text)
    except ValidationError as error:
        detail = describe_validation_error(error)
        for secret in _secrets_in(error):
            detail = detail.replace(secret, "(hidden)")
        reason = f"{path}: {detail}"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None
    ids = [key.id for key in keys]
    if len(set(ids)) != len(ids):
        reason = f"{path}: id: {ids} expected different ids"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
    return keys


def _secrets_in(error: ValidationError) -> list[str]:
    items = error.errors(include_url=False)
    return [
        repr(item["input"])
        for item in items
        if item["loc"] and item["loc"][-1] == "secret"
    ]


class Keyring:
    """Seals with the first key and opens with any.

    Parameters
    ----------
    keys : list of PeerKey
        At least one.
    """

    def __init__(self, keys: list[PeerKey]) -> None:
        self._ciphers: dict[int, ChaCha20Poly1305] = {}
        self._first = 0
        self.replace(keys)

    def replace(self, keys: list[PeerKey]) -> None:
        """Change to other keys."""
        self._first = keys[0].id
        self._ciphers = {
            key.id: ChaCha20Poly1305(base64.b64decode(key.secret)) for key in keys
        }

    def seal(self, plain: bytes) -> bytes:
        """Return `plain` sealed for the other balancers."""
        header = bytes((FORMAT, self._first))
        nonce = os.urandom(NONCE_BYTES)
        cipher = self._ciphers[self._first]
        return header + nonce + cipher.encrypt(nonce, plain, header)

    def open(self, sealed: bytes) -> bytes | Refused:
        """Return what was sealed, or why it can't be told."""
        if len(sealed) < OVERHEAD_BYTES:
            return Refused(ErrorKind.MESSAGE_MALFORMED, f"{len(sealed)} bytes")
        if sealed[0] != FORMAT:
            return Refused(ErrorKind.MESSAGE_BAD_VERSION, f"format {sealed[0]}")
        cipher = self._ciphers.get(sealed[1])
        if cipher is None:
            return Refused(ErrorKind.MESSAGE_NOT_AUTHENTIC, f"key {sealed[1]}")
        header = sealed[:HEADER_BYTES]
        nonce = sealed[HEADER_BYTES : HEADER_BYTES + NONCE_BYTES]
        try:
            return cipher.decrypt(nonce, sealed[HEADER_BYTES + NONCE_BYTES :], header)
        except InvalidTag:
            return Refused(ErrorKind.MESSAGE_NOT_AUTHENTIC, "tag")


@dataclass(slots=True)
class ReplayFilter:
    """Accepts each sequence number of a sender once, within a window."""

    incarnation: int = 0
    highest: int = 0
    seen: set[int] = field(default_factory=set)

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Return whether this number is new."""
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.highest = 0
            self.seen = set()
        if sequence <= self.highest - REPLAY_WINDOW or sequence in self.seen:
            return False
        self.seen.add(sequence)
        if sequence > self.highest:
            self.highest = sequence
        if len(self.seen) > 2 * REPLAY_WINDOW:
            floor = self.highest - REPLAY_WINDOW
            self.seen = {number for number in self.seen if number > floor}
        return True
