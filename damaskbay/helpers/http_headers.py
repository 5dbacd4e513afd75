"""Header lists: what belongs to one connection only, and what names a length."""

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


def without_hop_by_hop(headers: Headers, also: frozenset[str] = frozenset()) -> Headers:
    """
    Return the headers without those of one connection (RFC 9110, 7.6.1).

    Those named in `also` (lower case) go, too.
    """
    kept: list[tuple[str, str]] = []
    named: set[str] = set()
    for item in headers:
        name = item[0].lower()
        if name == "connection":
            named.update(token.strip().lower() for token in item[1].split(","))
        elif name not in HOP_BY_HOP and name not in also:
            kept.append(item)
    if named - _PLAIN_TOKENS:
        return tuple(item for item in kept if item[0].lower() not in named)
    return tuple(kept)


def without(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers without the named ones (lower case)."""
    return tuple(item for item in headers if item[0].lower() not in names)
