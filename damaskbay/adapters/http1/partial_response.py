"""The response that a client is receiving."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class PartialResponse:
    """The response that is being parsed."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    keep_alive: str | None = None
    echo: str | None = None
    has_length: bool = False
    encoded: bool = False
    body: bytearray = field(default_factory=bytearray)
    ends_at_close: bool = False
