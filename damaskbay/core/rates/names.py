"""Names and configured limits of the buckets that a call takes tokens from."""

from dataclasses import dataclass

from damaskbay.config.objects import ConfigSet, LimitScope
from damaskbay.core.rates.const import MILLIS


@dataclass(frozen=True, slots=True)
class BucketLimit:
    """
    The fleet-wide limit of one bucket.

    Rate in thousandths of a token per second, burst in thousandths of a token;
    `version` is that of the configuration set with this limit.
    """

    rate_millis: int
    burst_millis: int
    version: int


def newer_limit(
    first: BucketLimit | None, second: BucketLimit | None
) -> BucketLimit | None:
    """Return the limit of the newer version; the first one if versions are equal."""
    if first is None or second is None:
        return first or second
    return second if second.version > first.version else first


def equal_limits(first: BucketLimit, second: BucketLimit) -> bool:
    """Return whether rate and burst are equal, whatever the versions."""
    return (first.rate_millis, first.burst_millis) == (
        second.rate_millis,
        second.burst_millis,
    )


def bucket_names(
    config: ConfigSet, workspace: str, limits: tuple[str, ...]
) -> tuple[str, ...] | None:
    """
    Return the bucket names of a call, that of its workspace first.

    None if the configuration set lacks the workspace or one of the limits.
    """
    if workspace not in config.workspaces_by_name:
        return None
    names = [f"w/{workspace}"]
    for limit_name in limits:
        limit = config.limits_by_name.get(limit_name)
        if limit is None:
            return None
        per_workspace = limit.scope is LimitScope.WORKSPACE
        names.append(
            f"l/{limit_name}/{workspace}" if per_workspace else f"l/{limit_name}"
        )
    return tuple(dict.fromkeys(names))


def total_of(config: ConfigSet, bucket: str) -> BucketLimit | None:
    """Return the limit of a bucket, or None if the configuration set lacks it."""
    kind, _, rest = bucket.partition("/")
    if kind == "w":
        workspace = config.workspaces_by_name.get(rest)
        if workspace is None:
            return None
        return _total(workspace.rate_per_s, workspace.burst, config.version)
    limit_name, _, workspace_name = rest.partition("/")
    limit = config.limits_by_name.get(limit_name)
    if limit is None or bool(workspace_name) != (limit.scope is LimitScope.WORKSPACE):
        return None
    if workspace_name and workspace_name not in config.workspaces_by_name:
        return None
    return _total(limit.rate_per_s, limit.burst, config.version)


def _total(rate_per_s: float, burst: int, version: int) -> BucketLimit:
    return BucketLimit(int(rate_per_s * MILLIS), burst * MILLIS, version)
