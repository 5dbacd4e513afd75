"""Options of the dissemination of configuration sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DisseminationOptions:
    """
    Options of dissemination, times in seconds.

    In each failure domain, `relays` daemons watch the platform. Each holds a lease
    of `lease_s` and treats it as expired `lease_margin_s` early. The first `backups`
    daemons, including the relays, can replace the relays towards remote failure
    domains. New sets are pushed through a tree with a fanout of `push_fanout`.
    Every `poll_period_s` a daemon polls its parent in a tree with a fanout of
    `poll_fanout`. A poll without a reply fails after `poll_timeout_s`.

    Without a proof for `outage_after_s`, the `backups` daemons poll the remote
    failure domains, whose replies are valid for `reach_valid_s`.
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
