"""What a link calls when it receives something."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from damaskbay.adapters.peer_link.link import Link

RequestHandler = Callable[[Any], Awaitable[Any]]
"""Serves a message and returns the reply; cancelled when the sender cancels."""

MessageHandler = Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """
    What a link calls.

    `on_note` gets each note, again at each pulse that stands for it; `status` returns
    the message that acknowledges them, or None. `on_status` gets that of the peer.
    `on_answer` is called when the peer first answers on an unproven link.
    """

    on_request: RequestHandler
    on_note: MessageHandler
    status: Callable[[], Any]
    on_status: MessageHandler
    on_end: Callable[["Link"], object]
    on_answer: Callable[["Link"], None]
