"""Messages between daemons for the dissemination of configuration sets."""

from dataclasses import dataclass

from damaskbay.config.delta import Delta
from damaskbay.helpers.messages import message


@message("config.poll")
@dataclass(frozen=True, slots=True)
class Poll:
    """Request for a `Status`, with the active version of the sender."""

    version: int


@message("config.status")
@dataclass(frozen=True, slots=True)
class Status:
    """
    Active configuration version of the replying daemon.

    Ages are in seconds at the time of the reply: `proof_age_s` of the newest proof
    that no version above `version` was accepted, `outage_age_s` of the report that
    no failure domain reaches the platform.
    """

    version: int
    failure_domain: str
    proof_age_s: float | None
    outage_age_s: float | None


@message("config.push")
@dataclass(frozen=True, slots=True)
class Push:
    """Delta that leads to `version`, forwarded along the tree rooted at `root`."""

    root: str
    version: int
    delta: Delta


@message("config.pull")
@dataclass(frozen=True, slots=True)
class Pull:
    """Request for the `Parts` whose digests differ from these."""

    part_digests: tuple[str, ...]


@message("config.parts")
@dataclass(frozen=True, slots=True)
class Parts:
    """
    Compressed parts of a set that the requesting daemon lacks.

    `numbers` gives their positions in the set; `digest` is that of the complete
    set.
    """

    version: int
    digest: str
    numbers: tuple[int, ...]
    bodies: tuple[bytes, ...]
