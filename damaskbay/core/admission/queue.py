"""Calls that wait for a slot: by priority, then fair between workspaces."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from damaskbay.core.admission.const import STANDING_FOR_S, STANDING_WAIT_S
from damaskbay.core.call import CallContext


@dataclass(frozen=True, slots=True)
class Waiting:
    """
    A call that asks to be admitted.

    `weight` is its workspace's weight; `cost` is what its call tree has cost so
    far (its depth), and grows with what a refusal would waste.
    """

    ticket: int
    context: CallContext
    weight: float = 1.0
    cost: int = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """A waiting call, when it came and until when it is worth waiting."""

    item: Waiting
    arrived_at: float
    wait_until: float

    @property
    def rank(self) -> int:
        """Return the priority rank, 0 the most important."""
        return self.item.context.priority_rank

    @property
    def workspace(self) -> str:
        """Return the workspace whose share the call counts against."""
        return self.item.context.workspace


@dataclass(slots=True)
class _WorkspaceQueue:
    """One workspace's entries of one rank, by cost and in order of arrival."""

    weight: float = 1.0
    served: float = 0.0
    count: int = 0
    by_cost: dict[int, OrderedDict[int, Entry]] = field(default_factory=dict)

    def push(self, entry: Entry) -> None:
        by_ticket = self.by_cost.setdefault(entry.item.cost, OrderedDict())
        by_ticket[entry.item.ticket] = entry
        self.weight = max(entry.item.weight, 1e-6)
        self.count += 1

    def remove(self, entry: Entry) -> None:
        by_ticket = self.by_cost[entry.item.cost]
        del by_ticket[entry.item.ticket]
        if not by_ticket:
            del self.by_cost[entry.item.cost]
        self.count -= 1

    def next(self, *, newest: bool) -> Entry:
        by_ticket = self.by_cost[max(self.by_cost)]
        return next(
            reversed(by_ticket.values()) if newest else iter(by_ticket.values())
        )

    def last(self, *, newest: bool) -> Entry:
        by_ticket = self.by_cost[min(self.by_cost)]
        return next(
            reversed(by_ticket.values()) if newest else iter(by_ticket.values())
        )


class _RankQueue:
    """The waiting calls of one rank and how much each workspace was served."""

    def __init__(self) -> None:
        self.by_workspace: dict[str, _WorkspaceQueue] = {}
        self.served = 0.0
        self.count = 0

    def push(self, entry: Entry) -> None:
        workspace = self.by_workspace.setdefault(entry.workspace, _WorkspaceQueue())
        if not workspace.count:
            workspace.served = max(workspace.served, self.served)
        workspace.push(entry)
        self.count += 1

    def remove(self, entry: Entry) -> None:
        self.by_workspace[entry.workspace].remove(entry)
        self.count -= 1

    def next(self, *, newest: bool) -> Entry:
        waiting = (item for item in self.by_workspace.values() if item.count)
        return min(waiting, key=lambda item: item.served).next(newest=newest)

    def last(self, *, newest: bool) -> Entry:
        waiting = (item for item in self.by_workspace.values() if item.count)
        longest = max(waiting, key=lambda item: item.count / item.weight)
        return longest.last(newest=newest)

    def charge_unqueued(self, name: str, weight: float) -> None:
        workspace = self.by_workspace.get(name)
        if workspace is None:
            workspace = self.by_workspace[name] = _WorkspaceQueue()
        workspace.served = max(workspace.served, self.served)
        workspace.weight = max(weight, 1e-6)
        self._charge(workspace)

    def charge(self, entry: Entry) -> None:
        self._charge(self.by_workspace[entry.workspace])

    def _charge(self, workspace: _WorkspaceQueue) -> None:
        self.served = max(self.served, workspace.served)
        workspace.served += 1.0 / workspace.weight

    def forget_idle(self) -> None:
        self.by_workspace = {
            name: item
            for name, item in self.by_workspace.items()
            if item.count or item.served > self.served
        }


class WaitingQueue:
    """
    Orders waiting calls: most important rank first, then fair share.

    Within a workspace the costliest call tree goes first; the oldest call of it,
    but the newest once the queue has been standing for a while.
    """

    def __init__(self) -> None:
        self._by_rank: dict[int, _RankQueue] = {}
        self._by_ticket: dict[int, Entry] = {}
        self._standing_since: float | None = None

    def __len__(self) -> int:
        return len(self._by_ticket)

    def count_up_to(self, rank: int) -> int:
        """Return how many calls of this rank or a more important one wait."""
        return sum(q.count for number, q in self._by_rank.items() if number <= rank)

    def from_last(self) -> Iterator[Entry]:
        """Iterate over a copy, the least important rank first."""
        entries = self._by_ticket.values()
        return iter(sorted(entries, key=lambda entry: -entry.rank))

    def push(self, entry: Entry) -> None:
        """Add a call."""
        self._by_ticket[entry.item.ticket] = entry
        self._by_rank.setdefault(entry.rank, _RankQueue()).push(entry)

    def remove(self, ticket: int) -> Entry | None:
        """Take one call out, wherever it stands."""
        entry = self._by_ticket.pop(ticket, None)
        if entry is not None:
            self._by_rank[entry.rank].remove(entry)
        if not self._by_ticket:
            self._standing_since = None
        return entry

    def charge(self, rank: int, workspace: str, weight: float) -> None:
        """Charge a call to its workspace that starts without having waited."""
        queue = self._by_rank.get(rank)
        if queue is None:
            queue = self._by_rank[rank] = _RankQueue()
        queue.charge_unqueued(workspace, weight)
        self._standing_since = None

    def next(self, now: float) -> Entry:
        """Return the call to start next; the queue must not be empty."""
        rank = min(rank for rank, queue in self._by_rank.items() if queue.count)
        return self._by_rank[rank].next(newest=self.stands(now))

    def last(self, now: float) -> Entry:
        """Return the call to refuse first; the queue must not be empty."""
        return self._by_rank[self.last_rank()].last(newest=not self.stands(now))

    def last_rank(self) -> int:
        """Return the least important rank that waits; the queue must not be empty."""
        return max(rank for rank, queue in self._by_rank.items() if queue.count)

    def started(self, entry: Entry, now: float) -> None:
        """Charge a call that leaves the queue for a slot to its workspace."""
        self._by_rank[entry.rank].charge(entry)
        waited_s = now - entry.arrived_at
        self.remove(entry.item.ticket)
        if waited_s < STANDING_WAIT_S:
            self._standing_since = None
        elif self._standing_since is None:
            self._standing_since = now

    def stands(self, now: float) -> bool:
        """Tell whether calls have had to wait for some time on end."""
        since = self._standing_since
        return since is not None and now - since >= STANDING_FOR_S

    def forget_idle(self) -> None:
        """Drop what is kept of workspaces that owe nothing and wait for nothing."""
        for queue in self._by_rank.values():
            queue.forget_idle()
