"""HTTP client for the operator listeners of daemons."""

import http.client
from dataclasses import dataclass
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from damaskbay.ports.peer import PeerAddress

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

M = TypeVar("M", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class NoResponse:
    """A daemon that sent no usable response, and the reason."""

    address: PeerAddress
    detail: str


def fetch_document(address: PeerAddress, target: str, model: type[M]) -> M | NoResponse:
    """Return the document at `target` of a daemon, or why there is none."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=TIMEOUT_S
    )
    try:
        connection.request("GET", target)
        response = connection.getresponse()
        data = response.read(MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        return NoResponse(address, type(error).__name__)
    finally:
        connection.close()
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        return NoResponse(
            address, f"unreadable: {error.error_count()} validation errors"
        )


def parse_address(text: str) -> PeerAddress | None:
    """Return the address given as HOST:PORT, or None if the text is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        return None
    return PeerAddress(host, int(port))
