"""Messages between daemons that spread sets."""

from dataclasses import dataclass

from damaskbay.config.delta import Delta
from damaskbay.helpers.messages import message


@message("config.poll")
@dataclass(frozen=True, slots=True)
class Poll:
    """Ask for a `Status`; tells the version in force at the sender."""

    version: int


@message("config.status")
@dataclass(frozen=True, slots=True)
class Status:
    """
    What is in force at the answering daemon.

    Ages in seconds at the time of answering: of the newest proof that nothing
    above `version` was accepted, and of the news that no failure domain reaches
    the platform.
    """

    version: int
    failure_domain: str
    proof_age_s: float | None
    outage_age_s: float | None


@message("config.push")
@dataclass(frozen=True, slots=True)
class Push:
    """Hand on what changed to `version`, along the tree that starts at `root`."""

    root: str
    version: int
    delta: Delta


@message("config.pull")
@dataclass(frozen=True, slots=True)
class Pull:
    """Ask for all `Parts` that differ from those with these digests."""

    part_digests: tuple[str, ...]


@message("config.parts")
@dataclass(frozen=True, slots=True)
class Parts:
    """
    The parts, compressed, that the asking daemon lacks of one whole set.

    `numbers` names them by their place; `digest` is that of the whole set.
    """

    version: int
    digest: str
    numbers: tuple[int, ...]
    bodies: tuple[bytes, ...]
