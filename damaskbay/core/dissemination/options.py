"""Times and sizes of the dissemination of sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DisseminationOptions:
    """
    Times in seconds.

    `relays` daemons of a failure domain watch the platform, each with a lease of
    `lease_s` that it trusts for `lease_margin_s` less; the first `backups` daemons,
    relays included, stand in for them towards other failure domains. New sets are
    pushed through a tree of `push_fanout`; every `poll_period_s` a daemon polls its
    parent in a tree of `poll_fanout`. A poll that failed counts as lost after
    `poll_timeout_s`.
    Without a proof for `outage_after_s` they ask the other failure domains,
    whose answers count for `reach_valid_s`.
    """

    relays: int = 2
    backups: int = 6
    push_fanout: int = 4
    poll_fanout: int = 32
    poll_period_s: float = 0.5
    poll_timeout_s: float = 1.0
    pull_timeout_s: float = 5.0
    random_poll_every: int = 8
    watch_s: float = 0.5
    load_timeout_s: float = 5.0
    retry_s: float = 0.25
    lease_s: float = 10.0
    lease_renew_s: float = 3.0
    lease_margin_s: float = 1.0
    lease_timeout_s: float = 2.0
    outage_after_s: float = 1.5
    outage_valid_s: float = 3.0
    reach_valid_s: float = 3.0
    refused_pause_s: float = 5.0
