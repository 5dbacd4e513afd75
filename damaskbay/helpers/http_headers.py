"""Header lists: what belongs to one connection only, and what names a length."""

from typing import Final

from damaskbay.core.call import Headers

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


def without_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those of one connection (RFC 9110, 7.6.1)."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(item for item in headers if item[0].lower() not in dropped)


def without(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers without the named ones (lower case)."""
    return tuple(item for item in headers if item[0].lower() not in names)
