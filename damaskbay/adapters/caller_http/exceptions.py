"""Errors of the caller-facing edge; they do not leave it."""


class BadHeaderError(ValueError):
    """A header of ours has a value that can't be read."""

    def __init__(self, header: str, expected: str) -> None:
        super().__init__(f"header {header}: expected {expected}")
