"""Options of the dissemination of configuration sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DisseminationOptions:
    """
    Options of dissemination, times in seconds.

    In each failure domain, `relays` daemons watch the platform. Each holds a lease
    of `lease_s` and treats it as expired `lease_margin_s` early. New sets are
    pushed through a tree with a fanout of `push_fanout`. Every `poll_period_s` a
    daemon polls its parent in a tree with a fanout of `poll_fanout`, or, one time in
    `random_poll_every`, a random daemon. A poll without a reply fails after
    `poll_timeout_s`. After an invalid set was pulled, pulls pause for
    `rejected_set_pause_s`.

    The `backups` highest-ranked daemons, which include the relays, are polled in
    place of a missing or unresponsive parent. Without a proof for `outage_after_s`,
    they poll the remote failure domains, whose replies are valid for
    `reachability_valid_s`.
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
    reachability_valid_s: float = 3.0
    rejected_set_pause_s: float = 5.0
