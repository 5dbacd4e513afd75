"""Validated models of the configuration document, as operators write it."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, field_validator

from damaskbay.config import const
from damaskbay.config.objects import (
    Access,
    Key,
    Kind,
    Limit,
    LimitScope,
    Pool,
    Priority,
    Route,
    WhenUnproven,
    Workspace,
)

Name = Annotated[
    str,
    StringConstraints(
        pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=const.MAX_NAME_LENGTH
    ),
]
Host = Annotated[
    str,
    StringConstraints(pattern=r"^(\*|[a-z0-9.\-]+|\[[0-9a-f:]+\])$", max_length=253),
]
PathPrefix = Annotated[
    str,
    StringConstraints(
        pattern=r"^/([A-Za-z0-9_~!$&'()*+,;=:@.\-]+/?)*$",
        max_length=const.MAX_PATH_LENGTH,
    ),
]
Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]+$", max_length=16)]
Digest = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Rate = Annotated[float, Field(gt=0, le=const.MAX_RATE_PER_S)]
Burst = Annotated[int, Field(ge=1, le=const.MAX_BURST)]
Slots = Annotated[int, Field(ge=1, le=const.MAX_SLOTS)]


class _Model(BaseModel):
    model_config = ConfigDict(
        strict=True, extra="forbid", frozen=True, allow_inf_nan=False
    )


class WorkspaceModel(_Model):
    """A tenant with its rate (requests/s) and burst over the whole fleet."""

    rate_per_s: Rate
    burst: Burst
    weight: float = Field(default=1.0, gt=0, le=const.MAX_WEIGHT)


class KeyModel(_Model):
    """A caller's key: digest of the secret and the workspace it stands for."""

    digest: Digest
    workspace: Name
    expires_at: float | None = Field(
        default=None, ge=0, description="Seconds since 1970-01-01 UTC."
    )


class PriorityModel(_Model):
    """A class of importance; rank 0 is shed last."""

    rank: int = Field(ge=0, le=const.MAX_PRIORITY_RANK)


class LimitModel(_Model):
    """A further rate (requests/s) and burst that routes refer to."""

    rate_per_s: Rate
    burst: Burst
    scope: LimitScope = Field(default=LimitScope.ROUTE, strict=False)


class PoolModel(_Model):
    """The backend servers that answer to one name."""

    slots_per_server: Slots
    connections_per_server: Slots
    other_domains: bool = True


class RouteModel(_Model):
    """What is called, where it goes and on which terms."""

    host: Host = const.ANY_HOST
    path_prefix: PathPrefix
    methods: frozenset[Method] = Field(
        default=frozenset(), max_length=const.MAX_ROUTE_METHODS, strict=False
    )
    pool: Name
    access: Access = Field(strict=False)
    idempotent: bool
    deadline_s: float = Field(gt=0, le=const.MAX_DEADLINE_S)
    priority: Name
    retries: int = Field(default=0, ge=0, le=const.MAX_RETRIES)
    limits: tuple[Name, ...] = Field(
        default=(), max_length=const.MAX_ROUTE_LIMITS, strict=False
    )
    calls: tuple[Name, ...] = Field(
        default=(), max_length=const.MAX_ROUTE_CALLS, strict=False
    )
    when_unproven: WhenUnproven = Field(default=WhenUnproven.REFUSE, strict=False)
    unproven_after_s: float = Field(default=5.0, gt=0, le=const.MAX_UNPROVEN_AFTER_S)

    @field_validator("path_prefix")
    @classmethod
    def _no_dot_segments(cls, value: str) -> str:
        if any(segment in {".", ".."} for segment in value.split("/")):
            raise ValueError(
                "has a segment '.' or '..', which request paths never contain"
            )
        return value

    @field_validator("limits", "calls")
    @classmethod
    def _no_duplicates(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        if len(set(value)) != len(value):
            raise ValueError("contains a duplicate name")
        return value


class DocumentModel(_Model):
    """A whole set: the objects of each kind by name."""

    model_config = ConfigDict(title="damaskbay configuration set")

    format: int = Field(default=const.DOCUMENT_FORMAT, ge=1, le=const.DOCUMENT_FORMAT)
    based_on_version: int | None = Field(
        default=None, ge=0, description="The version that this set was made from."
    )
    workspaces: dict[Name, WorkspaceModel] = {}
    keys: dict[Name, KeyModel] = {}
    priorities: dict[Name, PriorityModel] = {}
    limits: dict[Name, LimitModel] = {}
    pools: dict[Name, PoolModel] = {}
    routes: dict[Name, RouteModel] = {}


MODELS_BY_KIND: dict[Kind, type[BaseModel]] = {
    Kind.WORKSPACES: WorkspaceModel,
    Kind.KEYS: KeyModel,
    Kind.PRIORITIES: PriorityModel,
    Kind.LIMITS: LimitModel,
    Kind.POOLS: PoolModel,
    Kind.ROUTES: RouteModel,
}
CLASSES_BY_KIND: dict[Kind, type[Any]] = {
    Kind.WORKSPACES: Workspace,
    Kind.KEYS: Key,
    Kind.PRIORITIES: Priority,
    Kind.LIMITS: Limit,
    Kind.POOLS: Pool,
    Kind.ROUTES: Route,
}
