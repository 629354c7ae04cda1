"""Settings of a balancer process, read from JSON and validated."""

import ipaddress
import json
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

from pydantic import AfterValidator, Field, ValidationError, model_validator

from stoattray_core import Address, ErrorKind, StoattrayError
from stoattray_core.resources import Ipv4, Model, Name, Port, describe_validation_error

MAX_SETTINGS_BYTES = 262_144


def _check_endpoint(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("expected IPv4:PORT") from None
    if not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise ValueError("expected IPv4:PORT")
    return value


Endpoint = Annotated[str, AfterValidator(_check_endpoint)]


class TraceExporter(StrEnum):
    """Exporter of spans and metrics."""

    NONE = "none"
    CONSOLE = "console"
    OTLP = "otlp"


class LogLevel(StrEnum):
    """Severity of log events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class PlatformSettings(Model):
    """Connection to the platform's key-value store."""

    url: str = Field(
        pattern=r"^https?://[^\s/]+$",
        description="Base URL of the key-value store.",
    )
    timeout_seconds: float = Field(
        default=2.0, ge=0.1, le=30.0, description="Timeout of one call, in seconds."
    )
    poll_seconds: float = Field(
        default=2.0,
        ge=0.2,
        le=60.0,
        description="Interval of reads while the watch is silent, in seconds.",
    )
    max_calls_per_second: float = Field(
        default=20.0,
        ge=0.1,
        le=1_000.0,
        description="Rate limit of this node's calls, in calls per second.",
    )
    prefix: str = Field(
        default="/stoattray/",
        pattern=r"^/[a-z0-9/_-]*/$",
        description="Prefix of every key.",
    )


class TlsSettings(Model):
    """TLS certificates of the resource API."""

    certificate_file: str = Field(description="PEM file with the certificate chain.")
    key_file: str = Field(description="PEM file with the private key.")
    client_ca_file: str | None = Field(
        default=None,
        description="PEM file of the client CA; if set, clients need a certificate.",
    )


class ApiSettings(Model):
    """The resource API."""

    port: Port = Field(description="TCP port.")
    tls: TlsSettings | None = Field(
        default=None,
        description="TLS certificates; required unless plain_http is true.",
    )
    plain_http: bool = Field(
        default=False, description="Serve HTTP without TLS; loopback only."
    )
    tokens_file: str | None = Field(
        default=None,
        description="JSON file of bearer tokens; if unset, requests need no token.",
    )


class TelemetrySettings(Model):
    """Metrics and traces."""

    exporter: TraceExporter = Field(
        default=TraceExporter.NONE, description="Destination of spans and metrics."
    )
    otlp_url: str | None = Field(
        default=None, description="Base URL of the OTLP collector."
    )
    sample_one_in: int = Field(
        default=1_000,
        ge=1,
        le=10_000_000,
        description="Trace one packet in this many.",
    )
    metrics_period_seconds: float = Field(
        default=10.0,
        ge=1.0,
        le=600.0,
        description="Interval of metrics exports, in seconds.",
    )


class Settings(Model):
    """All settings of one balancer process."""

    member: Name = Field(description="Unique name of this VM.")
    data_centre: Name = Field(description="Name of the data centre.")
    host: Ipv4 = Field(description="IPv4 address on which all ports listen.")
    fabric_port: Port = Field(description="UDP port for packets from the fabric.")
    relay_port: Port = Field(
        description="UDP port for packets relayed by other balancers."
    )
    peer_port: Port = Field(description="UDP port for messages from other balancers.")
    fabric_return: Endpoint = Field(
        description="UDP endpoint of the fabric for packets to callers."
    )
    seeds: tuple[Endpoint, ...] = Field(
        default=(),
        max_length=64,
        description="Peer endpoints contacted first when joining.",
    )
    keys_file: str = Field(
        description="JSON file of the keys that protect messages between balancers."
    )
    api: ApiSettings
    platform: PlatformSettings | None = Field(
        default=None,
        description="The platform; if unset, configuration comes from peers only.",
    )
    telemetry: TelemetrySettings = Field(default_factory=TelemetrySettings)
    log_level: LogLevel = Field(
        default=LogLevel.INFO, description="Lowest severity that is logged."
    )
    drain_seconds: float = Field(
        default=5.0,
        ge=0.0,
        le=600.0,
        description="Time to keep forwarding while stopping, in seconds.",
    )
    probe_period_seconds: float = Field(
        default=2.0,
        ge=0.2,
        le=60.0,
        description="Interval of health probes, in seconds.",
    )
    probe_timeout_seconds: float = Field(
        default=0.5,
        ge=0.05,
        le=30.0,
        description="Timeout of one health probe, in seconds.",
    )

    @model_validator(mode="after")
    def _check_consistency(self) -> "Settings":
        ports = [self.fabric_port, self.relay_port, self.peer_port]
        if len(set(ports)) != len(ports):
            raise ValueError(f"fabric_port, relay_port, peer_port: {ports} must differ")
        if self.api.tls is None and not self.api.plain_http:
            raise ValueError("api.tls: missing; expected unless api.plain_http is true")
        is_loopback = ipaddress.IPv4Address(self.host).is_loopback
        if self.api.plain_http and not is_loopback:
            raise ValueError(f"api.plain_http: only on loopback, host is {self.host}")
        return self


def endpoint_address(endpoint: str) -> Address:
    """Return the host and port of ``IPv4:PORT``."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT or TOO_LARGE; the reason names the key, the value and
        what was expected.
    """
    text = read_bounded(path, MAX_SETTINGS_BYTES)
    try:
        return Settings.model_validate_json(text)
    except ValidationError as error:
        reason = f"{path}: {describe_validation_error(error)}"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


def settings_schema() -> dict[str, Any]:
    """Return the JSON schema of the settings."""
    return Settings.model_json_schema()


def read_bounded(path: Path, max_bytes: int) -> str:
    """Return the text of a file of at most `max_bytes` bytes.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT if the file can't be read or is not UTF-8, TOO_LARGE if
        it is longer.
    """
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
    except OSError as error:
        reason = f"{path}: {error.strerror}; expected a readable file"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None
    if len(data) > max_bytes:
        reason = f"{path}: over {max_bytes} bytes; expected a smaller file"
        raise StoattrayError(ErrorKind.TOO_LARGE, reason)
    try:
        return data.decode()
    except UnicodeDecodeError:
        reason = f"{path}: not UTF-8; expected JSON"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


def read_json(path: Path, max_bytes: int) -> Any:
    """Return the JSON value in a file of at most `max_bytes` bytes.

    Raises
    ------
    StoattrayError
        As :func:`read_bounded`, and INVALID_ARGUMENT if the text is not JSON.
    """
    try:
        return json.loads(read_bounded(path, max_bytes))
    except json.JSONDecodeError as error:
        reason = f"{path}: {error}; expected JSON"
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None
