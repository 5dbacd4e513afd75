"""Hashes that are equal in every process, so that all daemons agree."""

import hashlib

DIGEST_BYTES = 8


def stable_digest(*parts: object) -> bytes:
    """Return an 8-byte digest of the parts; their order matters."""
    text = "\0".join(map(str, parts))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
