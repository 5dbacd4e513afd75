"""Header names as they come, decoded once."""

from typing import Final

MAX_NAMES: Final = 1024
"""Names that are remembered; bounds what peers can make the process keep."""

_names: dict[bytes, tuple[str, str]] = {}


def decoded_name(raw: bytes) -> tuple[str, str]:
    """Return a header name as it was sent, and in lower case."""
    known = _names.get(raw)
    if known is not None:
        return known
    if len(_names) >= MAX_NAMES:
        _names.clear()
    name = raw.decode("latin-1")
    _names[raw] = name, name.lower()
    return _names[raw]
