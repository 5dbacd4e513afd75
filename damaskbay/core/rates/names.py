"""Which buckets a request takes its tokens from."""

from dataclasses import dataclass

from damaskbay.config.objects import ConfigSet, LimitScope
from damaskbay.core.rates.const import MILLIS


@dataclass(frozen=True, slots=True)
class Total:
    """
    What one bucket allows over the whole fleet.

    Rate in thousandths of a token per second, burst in thousandths of a token;
    `version` is that of the configuration set that says so.
    """

    rate_millis: int
    burst_millis: int
    version: int


def newer(first: Total | None, second: Total | None) -> Total | None:
    """Return the total of the newer set; the first one where they are equal."""
    if first is None or second is None:
        return first or second
    return second if second.version > first.version else first


def same_terms(first: Total, second: Total) -> bool:
    """Tell whether two totals allow the same."""
    return (first.rate_millis, first.burst_millis) == (
        second.rate_millis,
        second.burst_millis,
    )


def bucket_names(
    config: ConfigSet, workspace: str, limits: tuple[str, ...]
) -> tuple[str, ...] | None:
    """
    Name the buckets of a request, the workspace's own first.

    Return None where the set knows no such workspace or limit.
    """
    if workspace not in config.workspaces_by_name:
        return None
    names = [f"w/{workspace}"]
    for limit_name in limits:
        limit = config.limits_by_name.get(limit_name)
        if limit is None:
            return None
        own = limit.scope is LimitScope.WORKSPACE
        names.append(f"l/{limit_name}/{workspace}" if own else f"l/{limit_name}")
    return tuple(dict.fromkeys(names))


def total_of(config: ConfigSet, bucket: str) -> Total | None:
    """Return what the set allows a bucket, or None where it has no such bucket."""
    kind, _, rest = bucket.partition("/")
    if kind == "w":
        workspace = config.workspaces_by_name.get(rest)
        if workspace is None:
            return None
        return _total(workspace.rate_per_s, workspace.burst, config.version)
    limit_name, _, owner = rest.partition("/")
    limit = config.limits_by_name.get(limit_name)
    if limit is None or bool(owner) != (limit.scope is LimitScope.WORKSPACE):
        return None
    if owner and owner not in config.workspaces_by_name:
        return None
    return _total(limit.rate_per_s, limit.burst, config.version)


def _total(rate_per_s: float, burst: int, version: int) -> Total:
    return Total(int(rate_per_s * MILLIS), burst * MILLIS, version)
