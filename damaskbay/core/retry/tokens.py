"""Split of a call tree's retry tokens, which are moved or handed back, never copied."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenSplit:
    """Retry tokens that stay with a call, and those that move to its nested calls."""

    kept: int
    moved: int


def split(tokens: int, *, nested: bool = True) -> TokenSplit:
    """
    Return the split of a call's retry tokens before an attempt or a nested call.

    The larger half moves, since a retry close to the failure repeats the least work.
    No token moves to a call that makes no nested calls (`nested` False).
    """
    if not nested:
        return TokenSplit(kept=tokens, moved=0)
    moved = (tokens + 1) // 2
    return TokenSplit(kept=tokens - moved, moved=moved)
