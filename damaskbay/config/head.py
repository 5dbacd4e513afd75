"""The record of the active version, and its stored form."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from damaskbay.config.const import HISTORY_PREFIX, MAX_AUTHOR_LENGTH, PART_COUNT
from damaskbay.config.delta import Delta, ObjectChange
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.models import Digest
from damaskbay.ports.platform import Entry


class ChangeModel(BaseModel):
    """The stored form of one object change."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: str
    name: str
    body: str | None


class DeltaModel(BaseModel):
    """The stored form of a delta from the previous version."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    base_digest: Digest
    digest: Digest
    changes: tuple[ChangeModel, ...]

    def to_delta(self) -> Delta:
        """Return the delta as a data class."""
        changes = (ObjectChange(**change.model_dump()) for change in self.changes)
        return Delta(self.base_digest, self.digest, tuple(changes))


class HeadRecord(BaseModel):
    """
    One accepted version.

    `published_at` is in seconds since 1970. `packs` are the digests of the
    stored values of the set: one for a small set, else one for each part.
    `delta` holds the changes from the previous version if they are small.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    version: int = Field(ge=1)
    digest: Digest
    publish_id: str = Field(min_length=1, max_length=64)
    author: str = Field(max_length=MAX_AUTHOR_LENGTH)
    published_at: float
    size_bytes: int = Field(ge=0)
    packs: Annotated[tuple[Digest, ...], Field(min_length=1, max_length=PART_COUNT)]
    delta: DeltaModel | None = None

    def to_bytes(self) -> bytes:
        """Return the stored form of the record (JSON)."""
        return self.model_dump_json().encode()


def read_record(entry: Entry) -> HeadRecord | LoadFailure:
    """Return the record of an entry, or a failure if the entry is damaged."""
    try:
        record = HeadRecord.model_validate_json(entry.value)
    except ValidationError as error:
        detail = f"validation errors: {error.error_count()}"
        return _damaged(entry, detail)
    if len(record.packs) not in {1, PART_COUNT}:
        detail = f"refers to {len(record.packs)} values"
        return _damaged(entry, detail)
    return record


def _damaged(entry: Entry, detail: str) -> LoadFailure:
    what = f"{entry.key} at revision {entry.revision}: {detail}"
    return LoadFailure(LoadProblem.DAMAGED_HEAD, what, revision=entry.revision)


def history_key(version: int) -> str:
    """Return the storage key of a version's record; keys sort by version."""
    return f"{HISTORY_PREFIX}{version:012d}"


def delta_to_model(delta: Delta) -> DeltaModel:
    """Return the stored form of a delta."""
    changes = tuple(
        ChangeModel(kind=item.kind, name=item.name, body=item.body)
        for item in delta.changes
    )
    return DeltaModel(
        base_digest=delta.base_digest, digest=delta.digest, changes=changes
    )
