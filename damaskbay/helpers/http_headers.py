"""Filter lists of HTTP headers, for example hop-by-hop headers."""

from enum import Enum, auto
from typing import Final

from damaskbay.core.call import Headers

_CONNECTION_OPTIONS: Final = frozenset({"close", "keep-alive"})

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)


def without_headers(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers except those in `names`, which are in lower case."""
    return tuple(item for item in headers if item[0].lower() not in names)


MAX_CACHED_NAMES: Final = 1024
"""Header names that a filter caches; bounds the memory that callers can use up."""


class _Treatment(Enum):
    """How the filter treats a header."""

    KEEP = auto()
    DROP = auto()
    READ = auto()
    READ_AND_DROP = auto()
    CONNECTION = auto()


class HeaderFilter:
    """
    Filter that extracts and removes headers in one pass.

    Headers in `dropped` and hop-by-hop headers are removed. The first value of
    each header in `read` is returned by its lower-case name. `dropped` and `read`
    are in lower case. The treatment of each name is cached.
    """

    def __init__(self, *, dropped: frozenset[str], read: frozenset[str]) -> None:
        self._dropped = dropped | HOP_BY_HOP
        self._read = read
        self._treatments_by_name: dict[str, _Treatment] = {}

    def split(self, headers: Headers) -> tuple[Headers, dict[str, str]]:
        """Return the headers to forward, and the values of the headers to read."""
        kept: list[tuple[str, str]] = []
        values: dict[str, str] = {}
        connection_names: frozenset[str] = frozenset()
        treatments_by_name = self._treatments_by_name
        for item in headers:
            name = item[0]
            treatment = treatments_by_name.get(name) or self._classify(name)
            if treatment is _Treatment.KEEP:
                kept.append(item)
            elif treatment is _Treatment.READ_AND_DROP:
                values.setdefault(name.lower(), item[1])
            elif treatment is _Treatment.READ:
                values.setdefault(name.lower(), item[1])
                kept.append(item)
            elif treatment is _Treatment.CONNECTION:
                connection_names |= _listed_names(item[1])
        if connection_names:
            return without_headers(tuple(kept), connection_names), values
        return tuple(kept), values

    def _classify(self, name: str) -> _Treatment:
        lower = name.lower()
        if lower == "connection":
            treatment = _Treatment.CONNECTION
        elif lower in self._read:
            dropped = lower in self._dropped
            treatment = _Treatment.READ_AND_DROP if dropped else _Treatment.READ
        else:
            treatment = _Treatment.DROP if lower in self._dropped else _Treatment.KEEP
        if len(self._treatments_by_name) >= MAX_CACHED_NAMES:
            self._treatments_by_name.clear()
        self._treatments_by_name[name] = treatment
        return treatment


def _listed_names(connection: str) -> frozenset[str]:
    """Return the header names in a Connection header, in lower case."""
    tokens = {token.strip().lower() for token in connection.split(",")}
    return frozenset(tokens) - _CONNECTION_OPTIONS - {""}


_HOP_BY_HOP_FILTER: Final = HeaderFilter(dropped=frozenset(), read=frozenset())


def without_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers (RFC 9110, 7.6.1)."""
    kept, _ = _HOP_BY_HOP_FILTER.split(headers)
    return kept
