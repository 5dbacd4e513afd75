"""Requests in parts: head and body in pieces, with a length or in chunks."""

from collections.abc import Iterator
from random import Random

from damaskbay.adapters.http1.client import encode_request
from damaskbay.core.call import Request
from tests.soak.callers import HEAD_END

MAX_PIECES = 8
MAX_CHUNKS = 6
CHUNKED_SHARE = 0.5


def request_in_parts(request: Request, rng: Random) -> list[bytes]:
    """Return a request as pieces that may end within its head or a chunk."""
    encoded = encode_request(request)
    if request.body and rng.random() < CHUNKED_SHARE:
        encoded = _encode_in_chunks(request, rng)
    head_bytes = encoded.index(HEAD_END) + len(HEAD_END)
    ends = {rng.randrange(1, head_bytes)}
    for _ in range(rng.randint(0, MAX_PIECES - 2)):
        ends.add(rng.randrange(1, len(encoded)))
    return list(_cut(encoded, sorted(ends)))


def _encode_in_chunks(request: Request, rng: Random) -> bytes:
    """Return a request whose body has chunks of any size instead of a length."""
    head, _, body = encode_request(request).partition(HEAD_END)
    lines = [
        line
        for line in head.split(b"\r\n")
        if not line.lower().startswith(b"content-length:")
    ]
    lines.append(b"Transfer-Encoding: chunked")
    count = rng.randint(0, MAX_CHUNKS - 1)
    ends = {rng.randrange(1, len(body) + 1) for _ in range(count)}
    chunks = [
        b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in _cut(body, sorted(ends))
    ]
    return b"".join([b"\r\n".join(lines), HEAD_END, *chunks, b"0\r\n\r\n"])


def _cut(data: bytes, ends: list[int]) -> Iterator[bytes]:
    """Yield the non-empty pieces of `data` that end at `ends` and at its end."""
    for start, end in zip([0, *ends], [*ends, len(data)], strict=True):
        if start < end:
            yield data[start:end]
