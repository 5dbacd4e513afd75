"""Hashes that are the same in every process, for choices that daemons make alike."""

import hashlib

DIGEST_BYTES = 8


def stable_digest(*parts: object) -> bytes:
    """Return 8 bytes that stand for some names and numbers, in this order."""
    text = "\0".join(map(str, parts))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
