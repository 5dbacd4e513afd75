"""Errors internal to the caller listener."""


class BadHeaderError(ValueError):
    """A Damaskbay header has an invalid value."""

    def __init__(self, header: str, expected: str) -> None:
        super().__init__(f"header {header}: expected {expected}")
