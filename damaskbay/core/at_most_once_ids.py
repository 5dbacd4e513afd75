"""Request ids: signed references to the daemon that issued them."""

import base64
import binascii
import hashlib
import hmac
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from damaskbay.core.call import Request
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.ports.peer import PeerAddress

MAX_REQUEST_ID_CHARACTERS: Final = 512

_MAC_LABEL: Final = b"damaskbay request id 1"
_MAC_BYTES: Final = 16
_PACKED_NUMBERS: Final = struct.Struct(">QQQQ")


@dataclass(frozen=True, slots=True)
class OwnerRef:
    """
    Content of a request id with a verified signature.

    `instance`, `incarnation` and the random number `process` identify the one
    process that may run the request; `address` is where it listens for peers.
    `sequence` numbers the ids of that process, `issued_ms` is in milliseconds of
    its monotonic clock.
    """

    instance: str
    incarnation: int
    process: int
    sequence: int
    issued_ms: int
    address: PeerAddress


def sign_request_id(secret: bytes, ref: OwnerRef) -> str:
    """Return the signed request id as URL-safe text."""
    numbers = _PACKED_NUMBERS.pack(
        ref.incarnation, ref.process, ref.sequence, ref.issued_ms
    )
    names = f"{ref.instance} {ref.address.host} {ref.address.port}"
    content = numbers + names.encode()
    text = base64.urlsafe_b64encode(_mac(secret, content) + content)
    return text.decode("ascii").rstrip("=")


def parse_request_id(secrets: Sequence[bytes], text: str) -> OwnerRef | Refusal:
    """
    Return the verified content of a request id, or a refusal if it is invalid.

    The signature must match one of the secrets. A text that no daemon issued is
    refused as `not_run`, since no daemon ever runs it.
    """
    data = _decode(text)
    mac, content = data[:_MAC_BYTES], data[_MAC_BYTES:]
    matches = [hmac.compare_digest(mac, _mac(key, content)) for key in secrets]
    if not any(matches):
        return not_run(
            Reason.REQUEST_ID_NOT_ISSUED, detail="the request id was never issued"
        )
    incarnation, process, sequence, issued_ms = _PACKED_NUMBERS.unpack_from(content)
    instance, host, port = content[_PACKED_NUMBERS.size :].decode().split(" ")
    address = PeerAddress(host, int(port))
    return OwnerRef(instance, incarnation, process, sequence, issued_ms, address)


def fingerprint_of(workspace: str, request: Request) -> bytes:
    """Return the digest of a request; a retry must have the same digest."""
    digest = hashlib.sha256()
    parts = (workspace, request.method, request.host, request.target)
    for part in (*(item.encode() for item in parts), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _decode(text: str) -> bytes:
    """Decode URL-safe base64; return empty bytes for invalid or too long text."""
    if len(text) > MAX_REQUEST_ID_CHARACTERS:
        return b""
    padding = "=" * (-len(text) % 4)
    try:
        return base64.b64decode(text + padding, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return b""


def _mac(secret: bytes, content: bytes) -> bytes:
    return hmac.digest(secret, _MAC_LABEL + content, "sha256")[:_MAC_BYTES]
