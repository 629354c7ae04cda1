"""Authenticated encryption of messages between balancers.

A datagram consists of a format version (1 byte), a key id (1 byte), a nonce
(12 bytes) and the ChaCha20-Poly1305 (RFC 8439) ciphertext, with the first two bytes
as associated data.
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

FORMAT_VERSION = 1
KEY_BYTES = 32
NONCE_BYTES = 12
TAG_BYTES = 16
HEADER_BYTES = 2
ENCRYPTION_OVERHEAD_BYTES = HEADER_BYTES + NONCE_BYTES + TAG_BYTES
MAX_KEYS_FILE_BYTES = 16_384
REPLAY_WINDOW_MESSAGES = 4_096


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
    """Read keys; the first one encrypts, all decrypt.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT if the file does not hold a valid list of keys, or
        TOO_LARGE. The reason never shows a secret.
    """
    text = read_bounded(path, MAX_KEYS_FILE_BYTES)
    try:
        keys = _KEY_LIST.validate_json(text)
    except ValidationError as error:
        detail = describe_validation_error(error)
        for secret in _rejected_secrets(error):
            detail = detail.replace(secret, "(hidden)")
        reason = f"{path}: {detail}"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None
    ids = [key.id for key in keys]
    if len(set(ids)) != len(ids):
        reason = f"{path}: id: {ids} expected unique ids"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
    return keys


def _rejected_secrets(error: ValidationError) -> list[str]:
    items = error.errors(include_url=False)
    return [
        repr(item["input"])
        for item in items
        if item["loc"] and item["loc"][-1] == "secret"
    ]


class Keyring:
    """Encrypts with the first key and decrypts with any of them.

    Parameters
    ----------
    keys : list of PeerKey
        At least one.
    """

    def __init__(self, keys: list[PeerKey]) -> None:
        self._ciphers: dict[int, ChaCha20Poly1305] = {}
        self._encryption_key_id = 0
        self.replace(keys)

    def replace(self, keys: list[PeerKey]) -> None:
        """Replace all keys."""
        self._encryption_key_id = keys[0].id
        self._ciphers = {
            key.id: ChaCha20Poly1305(base64.b64decode(key.secret)) for key in keys
        }

    def encrypt(self, plaintext: bytes) -> bytes:
        """Return `plaintext` encrypted and authenticated."""
        header = bytes((FORMAT_VERSION, self._encryption_key_id))
        nonce = os.urandom(NONCE_BYTES)
        cipher = self._ciphers[self._encryption_key_id]
        return header + nonce + cipher.encrypt(nonce, plaintext, header)

    def decrypt(self, datagram: bytes) -> bytes | Refused:
        """Return the plaintext, or the reason why `datagram` is rejected."""
        if len(datagram) < ENCRYPTION_OVERHEAD_BYTES:
            return Refused(ErrorKind.MESSAGE_MALFORMED, f"{len(datagram)} bytes")
        if datagram[0] != FORMAT_VERSION:
            return Refused(ErrorKind.MESSAGE_BAD_VERSION, f"format {datagram[0]}")
        cipher = self._ciphers.get(datagram[1])
        if cipher is None:
            return Refused(
                ErrorKind.MESSAGE_NOT_AUTHENTIC, f"unknown key {datagram[1]}"
            )
        header = datagram[:HEADER_BYTES]
        nonce = datagram[HEADER_BYTES : HEADER_BYTES + NONCE_BYTES]
        try:
            return cipher.decrypt(nonce, datagram[HEADER_BYTES + NONCE_BYTES :], header)
        except InvalidTag:
            return Refused(ErrorKind.MESSAGE_NOT_AUTHENTIC, "tag")


@dataclass(slots=True)
class ReplayFilter:
    """Rejects repeated sequence numbers of one sender, using a sliding window.

    Numbers at or below `highest` minus the window are rejected too, and so is
    every number of an older incarnation.
    """

    incarnation: int = 0
    highest: int = 0
    seen: set[int] = field(default_factory=set)

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Return whether a number is new, and record it if so."""
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.highest = 0
            self.seen = set()
        if sequence <= self.highest - REPLAY_WINDOW_MESSAGES or sequence in self.seen:
            return False
        self.seen.add(sequence)
        if sequence > self.highest:
            self.highest = sequence
        if len(self.seen) > 2 * REPLAY_WINDOW_MESSAGES:
            window_start = self.highest - REPLAY_WINDOW_MESSAGES
            self.seen = {number for number in self.seen if number > window_start}
        return True
