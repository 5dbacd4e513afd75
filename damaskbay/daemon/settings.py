"""Settings of a daemon process, read from JSON and validated."""

import ipaddress
import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from damaskbay.const import MAX_BODY_BYTES
from damaskbay.ports.peer import PeerAddress

MIN_SECRET_CHARACTERS = 16


def _ip_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Host = Annotated[str, AfterValidator(_ip_address)]
Port = Annotated[int, Field(ge=0, le=65535)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AddressSettings(_Model):
    """An IP address and a port; a listener with port 0 uses any free port."""

    host: Host
    port: Port

    def address(self) -> PeerAddress:
        """Return the address as a PeerAddress."""
        return PeerAddress(self.host, self.port)


class SecretSettings(_Model):
    """Source of a secret: a file or an environment variable, never the value."""

    file: Path | None = None
    environment: str | None = None

    @model_validator(mode="after")
    def _one_source(self) -> "SecretSettings":
        if (self.file is None) == (self.environment is None):
            raise ValueError("give exactly one of file and environment")
        return self


class BackendServerSettings(_Model):
    """Address and capacity of the local backend server."""

    host: Host
    port: Port
    pool: Name
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=1, le=20_000)]
    announced: bool = False
    """False: ready once it accepts a connection. True: only when it announces so."""


class LoggingSettings(_Model):
    """Level, format and rate limit of the process's log lines."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"
    lines_per_s: Annotated[float, Field(gt=0)] = 20.0
    """Per logger and message; further lines are counted and reported in one line."""


class TlsSettings(_Model):
    """Certificates for streams between daemons (PEM files)."""

    certificate: Path
    private_key: Path
    authority: Path


class LimitSettings(_Model):
    """Resource limits of this process."""

    caller_threads: Annotated[int, Field(ge=4, le=4000)] = 128
    caller_connections: Annotated[int, Field(ge=4, le=20_000)] = 2000
    max_body_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = MAX_BODY_BYTES
    remote_calls: Annotated[int, Field(ge=4, le=20_000)] = 2000
    graceful_stop_s: Annotated[float, Field(ge=0, le=600)] = 30.0


class DaemonSettings(_Model):
    """All settings of `damaskbay daemon`."""

    instance: Name
    failure_domain: Name
    caller_listen: AddressSettings
    peer_listen: AddressSettings
    gossip_listen: AddressSettings
    operator_listen: AddressSettings
    platform: AddressSettings
    peer_secrets: Annotated[tuple[SecretSettings, ...], Field(min_length=1)]
    """The first authenticates this daemon; all are accepted, to allow rotation."""
    backend_server: BackendServerSettings
    seeds: tuple[AddressSettings, ...] = ()
    """Gossip addresses used to join the fleet when the platform is unreachable."""
    logging: LoggingSettings = LoggingSettings()
    limits: LimitSettings = LimitSettings()
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """Validation errors of a settings file, one line per field."""

    source: str
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {line}" for line in self.problems)


def load_settings(path: Path) -> DaemonSettings | SettingsProblem:
    """Read and validate a settings file."""
    source = str(path)
    try:
        document = json.loads(path.read_text())
    except OSError as error:
        return SettingsProblem(source, (f"can't be read: {error.strerror}",))
    except ValueError as error:
        return SettingsProblem(source, (f"not JSON: {error}",))
    return check_settings(document, source)


def check_settings(document: object, source: str) -> DaemonSettings | SettingsProblem:
    """Validate a settings document; each problem starts with `source`."""
    try:
        return DaemonSettings.model_validate(document)
    except ValidationError as error:
        errors = error.errors(include_url=False, include_input=False)
        return SettingsProblem(
            source,
            tuple(f"{_field_path(item['loc'])}: {item['msg']}" for item in errors),
        )


def load_secrets(settings: DaemonSettings) -> tuple[bytes, ...] | SettingsProblem:
    """Read the peer secrets from the files and variables named in the settings."""
    secrets: list[bytes] = []
    problems: list[str] = []
    for index, location in enumerate(settings.peer_secrets):
        text = _read_secret(location)
        if text is None:
            problems.append(f"peer_secrets.{index}: the secret can't be read")
        elif len(text) < MIN_SECRET_CHARACTERS:
            problems.append(
                f"peer_secrets.{index}: shorter than {MIN_SECRET_CHARACTERS} characters"
            )
        else:
            secrets.append(text.encode())
    if problems:
        return SettingsProblem("settings", tuple(problems))
    return tuple(secrets)


def _read_secret(location: SecretSettings) -> str | None:
    if location.environment is not None:
        return os.environ.get(location.environment)
    try:
        return location.file.read_text().strip() if location.file else None
    except OSError:
        return None


def _field_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "settings"
