"""Encoding of HTTP/1.1 responses."""

import http
import logging
from dataclasses import dataclass

from damaskbay.core.call import Response
from damaskbay.core.http_status import is_final_status

_LOGGER = logging.getLogger(__name__)

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_PHRASES = {int(status): status.phrase for status in http.HTTPStatus}


@dataclass(frozen=True, slots=True)
class EncodedResponse:
    """An encoded response; whether it closes its connection is decided at the end."""

    head: bytes
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Return the size without the end of the head, in bytes."""
        return len(self.head) + len(self.body)

    def to_bytes(self, *, keep_alive: bool) -> bytes:
        """Return the bytes to write; without `keep_alive` they announce the close."""
        end = b"\r\n" if keep_alive else b"Connection: close\r\n\r\n"
        return b"".join((self.head, end, self.body))


def encode_response(response: Response, method: str) -> EncodedResponse:
    """
    Encode a response, adding Content-Length; its headers must lack it.

    Callers would take a status that is not final for an interim or an invalid one.
    """
    if not is_final_status(response.status):
        _LOGGER.error("edge: invalid status.", extra={"status": response.status})
        return error_response(http.HTTPStatus.BAD_GATEWAY)
    no_body = method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY
    phrase = _PHRASES.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if response.status not in _STATUSES_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(response.body)}")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n"
    return EncodedResponse(head, b"" if no_body else response.body)


def error_response(status: http.HTTPStatus) -> EncodedResponse:
    """Return the encoded response of a server that has nothing else to say."""
    return encode_response(Response(int(status)), "GET")
