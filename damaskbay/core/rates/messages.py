"""What daemons and holders say to each other about tokens."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message


@dataclass(frozen=True, slots=True)
class BucketAsk:
    """
    A daemon asks for tokens of one bucket.

    `needed` requests are waiting, `wanted` tokens would be spent soon; `requests`
    is how many asked for the bucket since the last ask. `grant_number` is unique
    to the asking daemon process.
    """

    bucket: str
    grant_number: int
    needed: int
    wanted: int
    requests: int


@dataclass(frozen=True, slots=True)
class BucketGrant:
    """
    Tokens that moved to the daemon, valid for a fixed time from its asking.

    With `count` 0: `exceeded` tells whether the rate is surely exceeded,
    `retry_after_s` when asking again may help, in seconds.
    """

    bucket: str
    grant_number: int
    count: int
    exceeded: bool = False
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GrantClose:
    """A daemon is done with a grant; `unused` tokens move back."""

    bucket: str
    grant_number: int
    unused: int


@message("rates.ask")
@dataclass(frozen=True, slots=True)
class TokenAsk:
    """Asks of one daemon to one holder, with grants that it is done with."""

    asks: tuple[BucketAsk, ...]
    closes: tuple[GrantClose, ...] = ()


@message("rates.grants")
@dataclass(frozen=True, slots=True)
class TokenGrants:
    """The answer to a TokenAsk, one grant for each ask."""

    grants: tuple[BucketGrant, ...]


@message("rates.close")
@dataclass(frozen=True, slots=True)
class TokenCloses:
    """Grants that a daemon is done with; has no answer."""

    closes: tuple[GrantClose, ...]
