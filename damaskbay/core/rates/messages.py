"""Messages between daemons and holders about tokens."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message


@dataclass(frozen=True, slots=True)
class BucketRequest:
    """
    Request of a daemon for tokens of one bucket.

    `needed` is the number of waiting calls, `wanted` the number of tokens including
    a prefetch, `calls` the number of calls for the bucket since the last request.
    `grant_number` is unique within the requesting daemon process.
    """

    bucket: str
    grant_number: int
    needed: int
    wanted: int
    calls: int


@dataclass(frozen=True, slots=True)
class BucketGrant:
    """
    Tokens granted to a daemon, valid for a fixed time from its request.

    With `count` 0, `exceeded` is true if the rate is known to be exceeded, and
    `retry_after_s` is the delay in seconds before a new request may succeed.
    """

    bucket: str
    grant_number: int
    count: int
    exceeded: bool = False
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GrantClose:
    """End of a grant; its `unused` tokens go back to the holder."""

    bucket: str
    grant_number: int
    unused: int


@message("rates.ask")
@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Token requests of one daemon to one holder, with the grants that it closes."""

    requests: tuple[BucketRequest, ...]
    closes: tuple[GrantClose, ...] = ()


@message("rates.grants")
@dataclass(frozen=True, slots=True)
class TokenGrants:
    """Reply to a `TokenRequest`, with one grant for each of its buckets."""

    grants: tuple[BucketGrant, ...]


@message("rates.close")
@dataclass(frozen=True, slots=True)
class TokenCloses:
    """Grants that a daemon closes; there is no reply."""

    closes: tuple[GrantClose, ...]
