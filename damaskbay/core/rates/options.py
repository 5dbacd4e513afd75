"""Options of the fleet-wide rate limits."""

from dataclasses import dataclass

from damaskbay.core.rates import const


@dataclass(frozen=True, slots=True)
class ShareOptions:
    """
    Options of shares and their holders. Times in seconds.

    Buckets are divided into `groups`. Each group has `holders` holders in a failure
    domain, so that a crash makes only one of their shares unusable. A holder
    writes a ledger once per `write_interval_s`, with a burst of `write_burst`.
    `validity_s` is the time for which a holder may use its shares without the
    platform, and for which the share of a crashed holder stays unusable.
    `floor_share` is the fraction of a bucket's rate that a holder keeps although
    unused, while no peer needs it.
    """

    groups: int = const.DEFAULT_GROUPS
    holders: int = const.DEFAULT_HOLDERS
    validity_s: float = const.DEFAULT_VALIDITY_S
    margin_s: float = const.DEFAULT_MARGIN_S
    renew_s: float = const.DEFAULT_RENEW_S
    poll_s: float = const.DEFAULT_POLL_S
    write_gap_s: float = const.DEFAULT_WRITE_GAP_S
    write_interval_s: float = const.DEFAULT_WRITE_INTERVAL_S
    write_burst: int = const.DEFAULT_WRITE_BURST
    headroom: float = const.DEFAULT_HEADROOM
    floor_share: float = const.DEFAULT_FLOOR_SHARE
    floor_idle_s: float = const.DEFAULT_FLOOR_IDLE_S
    demand_decay_s: float = const.DEFAULT_DEMAND_DECAY_S
    peak_decay_s: float = const.DEFAULT_PEAK_DECAY_S
    step_down_s: float = const.DEFAULT_STEP_DOWN_S
    claim_wait_s: float = const.DEFAULT_CLAIM_WAIT_S
    token_validity_s: float = const.TOKEN_VALIDITY_S
    token_margin_s: float = const.TOKEN_MARGIN_S
