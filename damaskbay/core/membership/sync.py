"""Messages over peer streams that repair what datagrams lost."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message


@message("membership.digests")
@dataclass(frozen=True, slots=True)
class Digests:
    """Ask for the entries of all buckets whose digest differs."""

    failure_domain: str
    digests: tuple[bytes, ...]


@message("membership.entries")
@dataclass(frozen=True, slots=True)
class Entries:
    """Packed entries (see core.membership.wire) of the named buckets."""

    buckets: tuple[int, ...]
    entries: bytes
