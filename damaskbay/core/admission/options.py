"""Settings of admission control for one backend server."""

from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.core.admission.cold_limit import NO_COLD_LIMIT, ColdOptions
from damaskbay.core.admission.const import (
    LEVEL_HEADROOM,
    QUEUE_PER_SLOT,
    QUEUE_WAIT_SHARE,
)
from damaskbay.core.admission.limit import ConcurrencyLimit, GradientLimit

LimitFactory = Callable[[int, float], ConcurrencyLimit]
"""Creates a limit from the slots and the current time in seconds."""


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """
    Settings of admission control for one backend server.

    `slots` is the maximum number of concurrent calls. The queue holds
    `queue_per_slot` calls per slot. A call waits in it for at most `wait_share` of
    the time between its arrival and its deadline. With `nested_queue_per_slot`,
    nested calls may wait in a longer queue, because refusing one wastes the work
    already done for its root call. The admission level still decreases once the
    normal length is reached, and with `nested_wait_share` once the median wait of
    nested calls is more than this part of their usual time. With `deadline_first`,
    nested calls of equal rank and depth start by the time that they have left.

    `unheard_calls` is the number of calls that may run until the server's first
    response, None for any number. `cold` is what a cold server takes.
    """

    slots: int
    queue_per_slot: float = QUEUE_PER_SLOT
    wait_share: float = QUEUE_WAIT_SHARE
    nested_queue_per_slot: float | None = None
    level_headroom: float = LEVEL_HEADROOM
    nested_wait_share: float | None = None
    deadline_first: bool = False
    limit: LimitFactory = GradientLimit
    unheard_calls: int | None = None
    cold: ColdOptions = NO_COLD_LIMIT
