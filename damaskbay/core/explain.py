"""Bounded log of decisions, used to explain a call afterwards."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

MAX_DECISIONS: Final = 5_000
MAX_WORKSPACES: Final = 500
MAX_PER_WORKSPACE: Final = 50
MAX_TEXT_CHARACTERS: Final = 200


@dataclass(frozen=True, slots=True)
class Decision:
    """
    One decision on a call, with the figures that it is based on.

    `at` is in seconds since 1970. `rule` is the name of the configuration object
    that decided, `set_version` the version of its configuration set.
    """

    at: float
    call_id: str
    workspace: str
    decision: str
    reason: str
    set_version: int
    rule: str = ""
    detail: str = ""
    figures: tuple[tuple[str, float], ...] = ()


class DecisionLog:
    """
    The newest decisions, by call id and by workspace.

    Holds at most `max_decisions` by call id, and the newest `MAX_PER_WORKSPACE` for
    each of the `MAX_WORKSPACES` most recent workspaces. Not thread-safe.
    """

    def __init__(self, max_decisions: int = MAX_DECISIONS) -> None:
        self._max_decisions = max_decisions
        self._by_call: OrderedDict[str, list[Decision]] = OrderedDict()
        self._by_workspace: OrderedDict[str, deque[Decision]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def record(self, decision: Decision) -> None:
        """Record a decision; drop the oldest calls when the log is full."""
        self._by_call.setdefault(decision.call_id, []).append(decision)
        self._count += 1
        while self._count > self._max_decisions and self._by_call:
            _, dropped = self._by_call.popitem(last=False)
            self._count -= len(dropped)
        self._record_for_workspace(decision)

    def by_call(self, call_id: str) -> tuple[Decision, ...]:
        """Return the recorded decisions on a call, oldest first."""
        return tuple(self._by_call.get(call_id, ()))

    def by_workspace(self, workspace: str) -> tuple[Decision, ...]:
        """Return the newest recorded decisions on a workspace, oldest first."""
        return tuple(self._by_workspace.get(workspace, ()))

    def _record_for_workspace(self, decision: Decision) -> None:
        decisions = self._by_workspace.get(decision.workspace)
        if decisions is None:
            decisions = deque(maxlen=MAX_PER_WORKSPACE)
            self._by_workspace[decision.workspace] = decisions
        self._by_workspace.move_to_end(decision.workspace)
        decisions.append(decision)
        if len(self._by_workspace) > MAX_WORKSPACES:
            self._by_workspace.popitem(last=False)


def shorten(text: str) -> str:
    """Return the text, truncated to `MAX_TEXT_CHARACTERS`."""
    return text[:MAX_TEXT_CHARACTERS]
