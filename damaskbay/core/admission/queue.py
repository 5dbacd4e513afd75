"""Queue of waiting calls, ordered by priority, then fairly among workspaces."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from damaskbay.core.admission.const import STANDING_QUEUE_AFTER_S, STANDING_QUEUE_WAIT_S
from damaskbay.core.call import CallContext


@dataclass(frozen=True, slots=True)
class PendingCall:
    """
    A call that requests admission.

    `weight` is the weight of its workspace. `cost` is the depth of the call in its
    call tree: the deeper the call, the more work a refusal wastes.
    """

    ticket: int
    context: CallContext
    weight: float = 1.0
    cost: int = 0


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued call with its arrival time and the end of its allowed wait."""

    item: PendingCall
    arrived_at: float
    wait_until: float

    @property
    def rank(self) -> int:
        """Return the priority rank; 0 is the most important."""
        return self.item.context.priority_rank

    @property
    def workspace(self) -> str:
        """Return the workspace that is charged for the call."""
        return self.item.context.workspace

    @property
    def deadline(self) -> float:
        """Return the deadline of the call."""
        return self.item.context.deadline


@dataclass(slots=True)
class _WorkspaceQueue:
    """Queued calls of one workspace and rank, by cost and in order of arrival."""

    weight: float = 1.0
    virtual_time: float = 0.0
    count: int = 0
    by_cost: dict[int, OrderedDict[int, QueueEntry]] = field(default_factory=dict)

    def push(self, entry: QueueEntry) -> None:
        by_ticket = self.by_cost.setdefault(entry.item.cost, OrderedDict())
        by_ticket[entry.item.ticket] = entry
        self.weight = max(entry.item.weight, 1e-6)
        self.count += 1

    def remove(self, entry: QueueEntry) -> None:
        by_ticket = self.by_cost[entry.item.cost]
        del by_ticket[entry.item.ticket]
        if not by_ticket:
            del self.by_cost[entry.item.cost]
        self.count -= 1

    def next_to_start(self, *, newest: bool, deadline_first: bool) -> QueueEntry:
        cost = max(self.by_cost)
        by_ticket = self.by_cost[cost]
        if deadline_first and cost:
            return min(by_ticket.values(), key=lambda entry: entry.deadline)
        return next(
            reversed(by_ticket.values()) if newest else iter(by_ticket.values())
        )

    def next_to_refuse(self, *, newest: bool) -> QueueEntry:
        by_ticket = self.by_cost[min(self.by_cost)]
        return next(
            reversed(by_ticket.values()) if newest else iter(by_ticket.values())
        )


class _RankQueue:
    """Queued calls of one rank, with the virtual time of weighted fair queueing."""

    def __init__(self) -> None:
        self.by_workspace: dict[str, _WorkspaceQueue] = {}
        self.virtual_time = 0.0
        self.count = 0

    def push(self, entry: QueueEntry) -> None:
        workspace = self.by_workspace.setdefault(entry.workspace, _WorkspaceQueue())
        if not workspace.count:
            workspace.virtual_time = max(workspace.virtual_time, self.virtual_time)
        workspace.push(entry)
        self.count += 1

    def remove(self, entry: QueueEntry) -> None:
        self.by_workspace[entry.workspace].remove(entry)
        self.count -= 1

    def next_to_start(self, *, newest: bool, deadline_first: bool) -> QueueEntry:
        waiting = (item for item in self.by_workspace.values() if item.count)
        return min(waiting, key=lambda item: item.virtual_time).next_to_start(
            newest=newest, deadline_first=deadline_first
        )

    def next_to_refuse(self, *, newest: bool) -> QueueEntry:
        waiting = (item for item in self.by_workspace.values() if item.count)
        most_waiting = max(waiting, key=lambda item: item.count / item.weight)
        return most_waiting.next_to_refuse(newest=newest)

    def charge_unqueued(self, name: str, weight: float) -> None:
        workspace = self.by_workspace.get(name)
        if workspace is None:
            workspace = self.by_workspace[name] = _WorkspaceQueue()
        workspace.virtual_time = max(workspace.virtual_time, self.virtual_time)
        workspace.weight = max(weight, 1e-6)
        self._charge(workspace)

    def charge(self, entry: QueueEntry) -> None:
        self._charge(self.by_workspace[entry.workspace])

    def _charge(self, workspace: _WorkspaceQueue) -> None:
        """Advance the virtual times for one started call of the workspace."""
        self.virtual_time = max(self.virtual_time, workspace.virtual_time)
        workspace.virtual_time += 1.0 / workspace.weight

    def forget_idle(self) -> None:
        self.by_workspace = {
            name: item
            for name, item in self.by_workspace.items()
            if item.count or item.virtual_time > self.virtual_time
        }


class WaitingQueue:
    """
    Priority queue with weighted fair queueing among the workspaces of a rank.

    Within a workspace, the call with the highest cost starts first. Among equal
    costs this is the oldest call, or the newest in a standing queue. With
    `deadline_first`, among equal costs above 0 it is the call with the least time left:
    a refused nested call wastes its whole tree.
    """

    def __init__(self, *, deadline_first: bool = False) -> None:
        self._deadline_first = deadline_first
        self._by_rank: dict[int, _RankQueue] = {}
        self._by_ticket: dict[int, QueueEntry] = {}
        self._standing_since: float | None = None

    def __len__(self) -> int:
        return len(self._by_ticket)

    def count_up_to(self, rank: int) -> int:
        """Return the number of queued calls of this or a more important rank."""
        return sum(
            queue.count
            for other_rank, queue in self._by_rank.items()
            if other_rank <= rank
        )

    def least_important_first(self) -> Iterator[QueueEntry]:
        """Iterate over a copy of the queue, least important rank first."""
        entries = self._by_ticket.values()
        return iter(sorted(entries, key=lambda entry: -entry.rank))

    def push(self, entry: QueueEntry) -> None:
        """Add a call to the queue."""
        self._by_ticket[entry.item.ticket] = entry
        self._by_rank.setdefault(entry.rank, _RankQueue()).push(entry)

    def remove(self, ticket: int) -> QueueEntry | None:
        """Remove a call from any position; return None if it isn't queued."""
        entry = self._by_ticket.pop(ticket, None)
        if entry is not None:
            self._by_rank[entry.rank].remove(entry)
        if not self._by_ticket:
            self._standing_since = None
        return entry

    def charge_unqueued(self, rank: int, workspace: str, weight: float) -> None:
        """Charge a workspace for a call that starts without waiting."""
        queue = self._by_rank.get(rank)
        if queue is None:
            queue = self._by_rank[rank] = _RankQueue()
        queue.charge_unqueued(workspace, weight)
        self._standing_since = None

    def next_to_start(self, now: float) -> QueueEntry:
        """Return the call to start next; the queue must not be empty."""
        rank = min(rank for rank, queue in self._by_rank.items() if queue.count)
        return self._by_rank[rank].next_to_start(
            newest=self.is_standing(now), deadline_first=self._deadline_first
        )

    def next_to_refuse(self, now: float) -> QueueEntry:
        """Return the call to refuse first; the queue must not be empty."""
        return self._by_rank[self.least_important_rank()].next_to_refuse(
            newest=not self.is_standing(now)
        )

    def least_important_rank(self) -> int:
        """Return the least important queued rank; the queue must not be empty."""
        return max(rank for rank, queue in self._by_rank.items() if queue.count)

    def remove_started(self, entry: QueueEntry, now: float) -> None:
        """Remove a call that starts and charge its workspace."""
        self._by_rank[entry.rank].charge(entry)
        waited_s = now - entry.arrived_at
        self.remove(entry.item.ticket)
        if waited_s < STANDING_QUEUE_WAIT_S:
            self._standing_since = None
        elif self._standing_since is None:
            self._standing_since = now

    def is_standing(self, now: float) -> bool:
        """
        Return whether the queue is standing.

        It is if all calls started for STANDING_QUEUE_AFTER_S had waited for
        STANDING_QUEUE_WAIT_S or longer.
        """
        since = self._standing_since
        return since is not None and now - since >= STANDING_QUEUE_AFTER_S

    def forget_idle(self) -> None:
        """Drop workspaces with no queued calls and no lead over the virtual time."""
        for queue in self._by_rank.values():
            queue.forget_idle()
