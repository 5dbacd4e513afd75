"""Retry tokens of a call tree: split and handed back, never copied."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenSplit:
    """Tokens that stay with a call and tokens that move to its child."""

    kept: int
    moved: int


def split(tokens: int, *, nested: bool = True) -> TokenSplit:
    """
    Split the tokens of a call before it is sent or calls on.

    The larger half moves, since a retry next to the failure repeats the least
    work. Nothing moves to a call that makes no further calls (`nested` False).
    """
    if not nested:
        return TokenSplit(kept=tokens, moved=0)
    moved = (tokens + 1) // 2
    return TokenSplit(kept=tokens - moved, moved=moved)
