"""Header lists: what belongs to one connection only, and what names a length."""

from enum import Enum, auto
from typing import Final

from damaskbay.core.call import Headers

_PLAIN_TOKENS: Final = frozenset({"close", "keep-alive"})

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


def without(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers without the named ones (lower case)."""
    return tuple(item for item in headers if item[0].lower() not in names)


MAX_SORTED_NAMES: Final = 1024
"""Header names that a sieve remembers; bounds what callers can make it keep."""


class _Fate(Enum):
    """What becomes of a header."""

    KEPT = auto()
    DROPPED = auto()
    READ = auto()
    READ_AND_DROPPED = auto()
    CONNECTION = auto()


class HeaderSieve:
    """
    Splits header lists in one pass, by names that are sorted out once.

    `dropped` and those of one connection are left out; the first value of each
    name in `read` is returned by its lower-case name. All names in lower case.
    """

    def __init__(self, *, dropped: frozenset[str], read: frozenset[str]) -> None:
        self._dropped = dropped | HOP_BY_HOP
        self._read = read
        self._fates: dict[str, _Fate] = {}

    def sift(self, headers: Headers) -> tuple[Headers, dict[str, str]]:
        """Return the headers to pass on, and the values that are read here."""
        kept: list[tuple[str, str]] = []
        values: dict[str, str] = {}
        named: frozenset[str] = frozenset()
        fates = self._fates
        for item in headers:
            name = item[0]
            fate = fates.get(name) or self._sort_out(name)
            if fate is _Fate.KEPT:
                kept.append(item)
            elif fate is _Fate.READ_AND_DROPPED:
                values.setdefault(name.lower(), item[1])
            elif fate is _Fate.READ:
                values.setdefault(name.lower(), item[1])
                kept.append(item)
            elif fate is _Fate.CONNECTION:
                named |= _named_in(item[1])
        if named:
            return without(tuple(kept), named), values
        return tuple(kept), values

    def _sort_out(self, name: str) -> _Fate:
        lower = name.lower()
        if lower == "connection":
            fate = _Fate.CONNECTION
        elif lower in self._read:
            dropped = lower in self._dropped
            fate = _Fate.READ_AND_DROPPED if dropped else _Fate.READ
        else:
            fate = _Fate.DROPPED if lower in self._dropped else _Fate.KEPT
        if len(self._fates) >= MAX_SORTED_NAMES:
            self._fates.clear()
        self._fates[name] = fate
        return fate


def _named_in(connection: str) -> frozenset[str]:
    """Return the headers that a Connection header names, in lower case."""
    tokens = {token.strip().lower() for token in connection.split(",")}
    return frozenset(tokens) - _PLAIN_TOKENS - {""}


_HOP_BY_HOP_SIEVE: Final = HeaderSieve(dropped=frozenset(), read=frozenset())


def without_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those of one connection (RFC 9110, 7.6.1)."""
    kept, _ = _HOP_BY_HOP_SIEVE.sift(headers)
    return kept
