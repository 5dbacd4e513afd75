"""What an operator may set of the counting of rate and burst."""

from dataclasses import dataclass

from damaskbay.core.rates import const


@dataclass(frozen=True, slots=True)
class ShareOptions:
    """
    Terms of shares. Times in seconds.

    Each of the `groups` of buckets has so many `holders` in a failure domain; its
    daemons are split among them, so that a crash takes but one's share away.
    A holder writes once in `write_refill_s` at most, but for a few at once.
    `validity_s` is for how long a holder goes on without the platform, and for
    how long a crashed holder's share stays out of use. `floor_share` is the part
    of a bucket's rate that a holder keeps unused while nobody else needs it.
    """

    groups: int = const.DEFAULT_GROUPS
    holders: int = const.DEFAULT_HOLDERS
    validity_s: float = const.DEFAULT_VALIDITY_S
    margin_s: float = const.DEFAULT_MARGIN_S
    renew_s: float = const.DEFAULT_RENEW_S
    poll_s: float = const.DEFAULT_POLL_S
    write_gap_s: float = const.DEFAULT_WRITE_GAP_S
    write_refill_s: float = const.DEFAULT_WRITE_REFILL_S
    write_reserve: int = const.DEFAULT_WRITE_RESERVE
    headroom: float = const.DEFAULT_HEADROOM
    floor_share: float = const.DEFAULT_FLOOR_SHARE
    floor_idle_s: float = const.DEFAULT_FLOOR_IDLE_S
    demand_decay_s: float = const.DEFAULT_DEMAND_DECAY_S
    keep_decay_s: float = const.DEFAULT_KEEP_DECAY_S
    step_down_s: float = const.DEFAULT_STEP_DOWN_S
    claim_wait_s: float = const.DEFAULT_CLAIM_WAIT_S
    token_validity_s: float = const.TOKEN_VALIDITY_S
    token_margin_s: float = const.TOKEN_MARGIN_S
