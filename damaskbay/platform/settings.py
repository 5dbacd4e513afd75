"""Decoding of the platform's settings file into the daemon's settings."""

import hashlib
import os
import tomllib
from dataclasses import replace
from pathlib import Path

from damaskbay.mesh.settings import (
    DEFAULT_COLD_OVERAGE,
    DEFAULT_COLD_SLACK,
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MeshSettings,
)
from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import (
    Table,
    read_integer,
    read_number,
    read_seconds,
    read_string,
    read_table,
)
from damaskbay.ports.peer import PeerAddress

MAX_PORT = 65_535
DIGEST_DIGITS = 12
"""Hexadecimal digits of a digest; a gauge holds so many without rounding."""

MEGABYTE = 1024 * 1024
DEFAULT_MEMORY_MB = DEFAULT_MEMORY_BYTES // MEGABYTE
METRICS_PORT = 9464
"""Equals the port in the deploy file; the settings file doesn't contain it."""


def settings_path() -> Path:
    """Return the settings path from the environment; raise FieldError if unset."""
    value = os.environ.get(SETTINGS_VARIABLE)
    if not value:
        raise FieldError(f"{SETTINGS_VARIABLE}: expected the path of the settings file")
    return Path(value)


def load_settings(path: Path) -> MeshSettings:
    """
    Return the settings of a TOML file.

    Raise FieldError if it is empty, no TOML or has an invalid field, OSError.
    """
    try:
        content = path.read_bytes()
        document = tomllib.loads(content.decode())
    except (ValueError, RecursionError) as error:
        raise FieldError(f"{path}: {error}") from None
    if not document:
        raise FieldError(f"{path}: the file is empty")
    digest = hashlib.sha256(content).hexdigest()[:DIGEST_DIGITS]
    return replace(decode_settings(document), digest=digest)


def decode_settings(document: Table) -> MeshSettings:
    """Return the daemon's settings; ignore unknown fields; raise FieldError."""
    listen = read_table(document, "Listen")
    bounds = read_table(document, "Bounds")
    return MeshSettings(
        instance=read_string(document, "Node"),
        failure_domain=read_string(document, "Zone"),
        failure_domains=_read_failure_domains(document),
        pool=read_string(document, "Service"),
        callers=_read_address(listen, "Outbound"),
        control=_read_address(listen, "Control"),
        readiness=_read_address(listen, "Readiness"),
        peers=PeerAddress(read_string(document, "Ip"), _read_first_port(document)),
        metrics=PeerAddress(read_string(document, "Ip"), METRICS_PORT),
        server=_read_address(document, "AppAddr"),
        store=_read_address(read_table(document, "Platform"), "Address"),
        drain_s=read_seconds(bounds, "Drain", 2.0),
        grace_s=read_seconds(bounds, "Grace", 6.0),
        revoke_s=read_seconds(bounds, "Revoke", 5.0),
        retry_ratio=read_number(bounds, "RetryBudgetRatio", 0.1),
        retry_slack=read_number(bounds, "RetryBudgetSlack", 0.0),
        quota_overage=read_number(bounds, "QuotaOverage", 0.0),
        quota_slack=read_number(bounds, "QuotaSlack", 0.0),
        cold_overage=read_number(bounds, "ColdOverage", DEFAULT_COLD_OVERAGE),
        cold_slack=read_number(bounds, "ColdSlack", DEFAULT_COLD_SLACK),
        limits_cold_servers="ColdOverage" in bounds or "ColdSlack" in bounds,
        memory_bytes=MEGABYTE * _read_limit(document, "MemoryMb", DEFAULT_MEMORY_MB),
        max_descriptors=_read_limit(document, "MaxFds", DEFAULT_MAX_DESCRIPTORS),
        advertised=(
            _read_address(listen, "Advertised") if "Advertised" in listen else None
        ),
    )


def _read_address(parent: Table, name: str) -> PeerAddress:
    value = read_string(parent, name)
    host, colon, port = value.rpartition(":")
    if not (host and colon and port.isdigit() and int(port) <= MAX_PORT):
        raise FieldError(f"{name}: expected an address such as 10.1.0.26:8543")
    return PeerAddress(host, int(port))


def _read_failure_domains(document: Table) -> frozenset[str]:
    """Return the names of all failure domains, none if the file has no such table."""
    return frozenset(read_table(document, "Zones") if "Zones" in document else ())


def _read_limit(document: Table, name: str, default: int) -> int:
    """Return a limit of the process; 0 and none stand for the default."""
    if "Limits" not in document:
        return default
    limits = read_table(document, "Limits")
    return read_integer(limits, name) if limits.get(name) else default


def _read_first_port(document: Table) -> int:
    ports = document.get("PortRange")
    if not (
        isinstance(ports, list)
        and len(ports) == 2
        and all(isinstance(port, int) for port in ports)
        and 0 < ports[0] < ports[1] <= MAX_PORT
    ):
        raise FieldError("PortRange: expected the first and the last port")
    return int(ports[0])
