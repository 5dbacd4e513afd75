"""Decoding of header names, with a cache."""

from typing import Final

MAX_CACHED_NAMES: Final = 1024
"""Maximum number of cached names; bounds the memory that peers can occupy."""

_cache: dict[bytes, tuple[str, str]] = {}


def decode_header_name(raw: bytes) -> tuple[str, str]:
    """Return a header name as received and in lower case."""
    cached = _cache.get(raw)
    if cached is not None:
        return cached
    if len(_cache) >= MAX_CACHED_NAMES:
        _cache.clear()
    name = raw.decode("latin-1")
    _cache[raw] = name, name.lower()
    return _cache[raw]
