"""A bounded record of decisions, from which a call can be explained afterwards."""

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
    What was decided on one call, and by which figures.

    `at` is in seconds since 1970. `rule` names the object of the set that
    decided, `set_version` the set it belongs to.
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

    Holds at most `max_decisions`, and for each of the `MAX_WORKSPACES` last seen
    workspaces the newest `MAX_PER_WORKSPACE`. Not safe for threads.
    """

    def __init__(self, max_decisions: int = MAX_DECISIONS) -> None:
        self._max_decisions = max_decisions
        self._by_call: OrderedDict[str, list[Decision]] = OrderedDict()
        self._by_workspace: OrderedDict[str, deque[Decision]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def record(self, decision: Decision) -> None:
        """Keep a decision; the oldest call is forgotten where there is no room."""
        self._by_call.setdefault(decision.call_id, []).append(decision)
        self._count += 1
        while self._count > self._max_decisions and self._by_call:
            _, forgotten = self._by_call.popitem(last=False)
            self._count -= len(forgotten)
        self._keep_for_workspace(decision)

    def by_call(self, call_id: str) -> tuple[Decision, ...]:
        """Return what is remembered of a call, oldest first."""
        return tuple(self._by_call.get(call_id, ()))

    def by_workspace(self, workspace: str) -> tuple[Decision, ...]:
        """Return the newest decisions on a workspace, oldest first."""
        return tuple(self._by_workspace.get(workspace, ()))

    def _keep_for_workspace(self, decision: Decision) -> None:
        kept = self._by_workspace.get(decision.workspace)
        if kept is None:
            kept = deque(maxlen=MAX_PER_WORKSPACE)
            self._by_workspace[decision.workspace] = kept
        self._by_workspace.move_to_end(decision.workspace)
        kept.append(decision)
        if len(self._by_workspace) > MAX_WORKSPACES:
            self._by_workspace.popitem(last=False)


def shorten(text: str) -> str:
    """Return the text, cut to what the record keeps."""
    return text[:MAX_TEXT_CHARACTERS]
