"""The gate that counts root calls against rate and burst."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Self

from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.rates.bucket import HolderBucket, Share
from damaskbay.core.rates.const import MILLIS
from damaskbay.core.rates.names import Total, bucket_names, total_of
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.fleet import ConfigSource, Membership
from damaskbay.ports.peer import PeerIdentity, PeerLink
from damaskbay.ports.platform import Platform


@dataclass(frozen=True, slots=True)
class RateOptions:
    """What an operator may set of the counting. Times in seconds."""

    groups: int = 16
    validity_s: float = 900.0


class RateService:
    """Implements `ports.fleet.RateGate`; entered and left as a context manager."""

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        platform: Platform,
        link: PeerLink,
        membership: Membership,
        config: ConfigSource,
        options: RateOptions | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._config = config
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets_by_name: dict[str, tuple[Total, HolderBucket]] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        pass

    def acquire(
        self, workspace: str, limits: tuple[str, ...], *, deadline: float, now: float
    ) -> Refusal | None:
        """Spend one token of each bucket, or none at all; None: admitted."""
        state = self._config.state()
        if state is None:
            return not_run(Reason.NO_CONFIGURATION)
        names = bucket_names(state.config, workspace, limits)
        if names is None:
            return not_run(Reason.RATE_EXCEEDED, detail="unknown workspace or limit")
        with self._lock:
            buckets = []
            for name in names:
                total = total_of(state.config, name)
                assert total is not None
                buckets.append(self._bucket(name, total, now))
            for bucket in buckets:
                if bucket.level(now) < 1:
                    wait_s = MILLIS / max(1, bucket.share.rate_millis)
                    return not_run(Reason.RATE_EXCEEDED, retry_after_s=wait_s)
            for bucket in buckets:
                bucket.remove_tokens(1, now)
        return None

    def _bucket(self, name: str, total: Total, now: float) -> HolderBucket:
        share = Share(total.rate_millis, total.burst_millis)
        known = self._buckets_by_name.get(name)
        if known is None:
            known = (total, HolderBucket(share, share.burst_millis / MILLIS, now))
            self._buckets_by_name[name] = known
        if known[1].share != share:
            known[1].set_share(share, now)
        return known[1]
