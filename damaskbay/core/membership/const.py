"""Limits and sizes of the membership protocol."""

MAX_NAME_CHARS = 64
MAX_MEMBERS = 4_000
DIGEST_BUCKETS = 32
DIGEST_BYTES = 8
ENTRY_OVERHEAD_BYTES = 56
