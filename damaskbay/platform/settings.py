"""The platform's settings file of one process, decoded into the daemon's settings."""

import os
import tomllib
from pathlib import Path

from damaskbay.mesh.settings import MeshSettings
from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.fields import Table, number, seconds, table, text
from damaskbay.ports.peer import PeerAddress

HIGHEST_PORT = 65_535
METRICS_PORT = 9464
"""The same port as in the deploy file; the settings name none."""


def settings_path() -> Path:
    """Return the path of the settings file; raise FieldError."""
    value = os.environ.get(SETTINGS_VARIABLE)
    if not value:
        raise FieldError(f"{SETTINGS_VARIABLE}: the path of the settings is wanted")
    return Path(value)


def load_settings(path: Path) -> MeshSettings:
    """Return the settings in a file; raise FieldError, OSError."""
    try:
        document = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FieldError(f"{path}: {error}") from None
    return decode_settings(document)


def decode_settings(document: Table) -> MeshSettings:
    """Return the daemon's settings; unknown fields are passed over."""
    listen = table(document, "Listen")
    bounds = table(document, "Bounds")
    return MeshSettings(
        instance=text(document, "Node"),
        failure_domain=text(document, "Zone"),
        pool=text(document, "Service"),
        callers=_address(listen, "Outbound"),
        control=_address(listen, "Control"),
        readiness=_address(listen, "Readiness"),
        peers=PeerAddress(text(document, "Ip"), _first_port(document)),
        metrics=PeerAddress(text(document, "Ip"), METRICS_PORT),
        server=_address(document, "AppAddr"),
        store=_address(table(document, "Platform"), "Address"),
        drain_s=seconds(bounds, "Drain", 2.0),
        grace_s=seconds(bounds, "Grace", 6.0),
        revoke_s=seconds(bounds, "Revoke", 5.0),
        retry_ratio=number(bounds, "RetryBudgetRatio", 0.1),
        retry_slack=number(bounds, "RetryBudgetSlack", 0.0),
        quota_overage=number(bounds, "QuotaOverage", 0.0),
        quota_slack=number(bounds, "QuotaSlack", 0.0),
    )


def _address(parent: Table, name: str) -> PeerAddress:
    value = text(parent, name)
    host, colon, port = value.rpartition(":")
    if not (host and colon and port.isdigit() and int(port) <= HIGHEST_PORT):
        raise FieldError(f"{name}: an address such as 10.1.0.26:8543 is wanted")
    return PeerAddress(host, int(port))


def _first_port(document: Table) -> int:
    ports = document.get("PortRange")
    if not (
        isinstance(ports, list)
        and len(ports) == 2
        and all(isinstance(port, int) for port in ports)
        and 0 < ports[0] < ports[1] <= HIGHEST_PORT
    ):
        raise FieldError("PortRange: the first and the last port are wanted")
    return int(ports[0])
