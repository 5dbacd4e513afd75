"""Pydantic models of the platform's JSON responses."""

from pydantic import Base64Bytes, BaseModel, ConfigDict, Field


class EntryModel(BaseModel):
    """One entry; the value is encoded as Base64."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str
    value: Base64Bytes
    revision: int = Field(gt=0)


class ListModel(BaseModel):
    """All entries under a prefix, in key order."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    entries: tuple[EntryModel, ...]
