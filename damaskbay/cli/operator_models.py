"""Models of the operator listener's documents, as the command line reads them."""

from pydantic import BaseModel, ConfigDict


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class StatusModel(_Model):
    """`/status` of one daemon. Ages are in seconds, None without an active set."""

    instance: str
    incarnation: int
    failure_domain: str
    set_version: int
    set_digest: str
    proven_age_s: float | None
    platform_outage_for_all: bool
    cut_off: bool
    ready: bool
    why_not_ready: tuple[str, ...]
    backend_server: str
    members: int


class DecisionModel(_Model):
    """One decision of `/explain`."""

    at: float
    call_id: str
    workspace: str
    decision: str
    reason: str
    set_version: int
    rule: str
    detail: str
    figures: dict[str, float]


class ExplainModel(_Model):
    """`/explain` of one daemon."""

    instance: str
    decisions: tuple[DecisionModel, ...]
