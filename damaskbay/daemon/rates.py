"""Rate limiting of root calls by distributed token buckets."""

import random
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress
from types import TracebackType
from typing import Self

from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.rates.names import bucket_names
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.stock import Stock
from damaskbay.daemon.rates_ledger import LedgerStore
from damaskbay.daemon.rates_stock import SharedStock, Waiter
from damaskbay.daemon.rates_task import Leave, NewSet, RateTask, Wake
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.fleet import ConfigSource, Membership
from damaskbay.ports.peer import PeerIdentity, PeerLink
from damaskbay.ports.platform import Platform

MAX_WAIT_S = 1.5
RELEASE_TIMEOUT_S = 4.0


class RateService:
    """Rate limiter, run as a context manager (port: RateGate)."""

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        platform: Platform,
        link: PeerLink,
        membership: Membership,
        config: ConfigSource,
        options: ShareOptions | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        share_options = options or ShareOptions()
        rng = random.Random(f"{identity.instance}/{identity.incarnation}")
        self._config = config
        self._clock = clock
        self._stock = SharedStock(
            Stock(share_options.token_validity_s, share_options.holders, rng)
        )
        self._task = RateTask(
            identity=identity,
            store=LedgerStore(platform),
            link=link,
            membership=membership,
            config=config,
            stock=self._stock,
            options=share_options,
            clock=clock,
        )

    def __enter__(self) -> Self:
        self._task.__enter__()
        self._config.subscribe(lambda _: self._on_config_change())
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release all shares, for at most `RELEASE_TIMEOUT_S`, and stop the task."""
        self._task.post(Leave())
        with suppress(FutureTimeoutError):
            self._task.left.result(RELEASE_TIMEOUT_S)
        self._task.__exit__(exc_type, exc, traceback)

    def acquire(
        self, workspace: str, limits: tuple[str, ...], *, deadline: float, now: float
    ) -> Refusal | None:
        """
        Spend one token of each bucket or none; return None if admitted.

        Blocks until the deadline, but at most `MAX_WAIT_S`, if tokens are missing.
        """
        state = self._config.state()
        if state is None:
            return not_run(Reason.NO_CONFIGURATION)
        names = bucket_names(state.config, workspace, limits)
        if names is None:
            return not_run(Reason.RATE_EXCEEDED, detail="unknown workspace or limit")
        acquired = self._stock.acquire(names, self._clock())
        if isinstance(acquired, Waiter):
            return self._wait_for_tokens(acquired, deadline - now)
        return acquired

    def _wait_for_tokens(self, waiter: Waiter, remaining_s: float) -> Refusal | None:
        self._task.post(Wake())
        try:
            return waiter.future.result(max(0.0, min(remaining_s, MAX_WAIT_S)))
        except FutureTimeoutError:
            return self._stock.give_up(waiter)

    def _on_config_change(self) -> None:
        self._task.post(NewSet())
