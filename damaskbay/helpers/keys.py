"""Callers' keys: generation, digests, and detection and redaction in texts."""

import base64
import binascii
import hashlib
import re
import secrets
from typing import Final
from urllib.parse import unquote_plus

KEY_PREFIX: Final = "dk_"
KEY_RANDOM_BYTES: Final = 32
_KEY_PATTERN: Final = re.compile(KEY_PREFIX + r"[A-Za-z0-9_-]{43}")
_BASIC_PREFIX: Final = "basic "


def new_key_secret() -> str:
    """Return a new random key: the prefix and 32 random bytes in URL-safe base64."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)


def digest_of(secret: str) -> str:
    """Return the SHA-256 digest of a key in hex, as configuration sets store it."""
    return hashlib.sha256(secret.encode()).hexdigest()


def contains_key(text: str, presented: str | None) -> bool:
    """
    Return whether a text contains a key: plain, percent-encoded or in Basic form.

    `presented` is the key sent with the request; it need not match the key format.
    """
    if _contains_plain_key(text, presented):
        return True
    if ("%" in text or "+" in text) and _contains_plain_key(
        unquote_plus(text), presented
    ):
        return True
    return _contains_plain_key(_decode_basic_credentials(text), presented)


def body_contains_key(body: bytes, presented: str | None) -> bool:
    """Return whether a body contains a key in plain form."""
    if presented and presented.encode() in body:
        return True
    prefix = KEY_PREFIX.encode()
    if prefix not in body:
        return False
    return _KEY_PATTERN.search(body.decode("latin-1")) is not None


def redact(text: str) -> str:
    """Return the text with every key replaced by a placeholder, for logs."""
    return _KEY_PATTERN.sub(KEY_PREFIX + "[redacted]", text)


def _contains_plain_key(text: str, presented: str | None) -> bool:
    if presented and presented in text:
        return True
    return KEY_PREFIX in text and _KEY_PATTERN.search(text) is not None


def _decode_basic_credentials(header_value: str) -> str:
    if header_value[: len(_BASIC_PREFIX)].lower() != _BASIC_PREFIX:
        return ""
    try:
        return base64.b64decode(header_value[len(_BASIC_PREFIX) :]).decode("latin-1")
    except (binascii.Error, ValueError):
        return ""
