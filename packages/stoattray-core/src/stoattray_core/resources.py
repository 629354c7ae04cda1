"""Pydantic models of the resource API and of stored values."""

import ipaddress
from enum import StrEnum
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SerializerFunctionWrapHandler,
    ValidationError,
    model_serializer,
    model_validator,
)

from stoattray_core._errors import ErrorKind, StoattrayError
from stoattray_core._identifiers import ServiceId, server_id
from stoattray_core._packet import TCP, UDP, service_key
from stoattray_core.configuration import (
    BackendServerSpec,
    Policy,
    ServerState,
    ServiceSpec,
)

MAX_SERVICE_BYTES = 32_768
MILLIS_PER_SECOND = 1_000
NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"


def _check_ipv4(value: str) -> str:
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        raise ValueError("expected an IPv4 address") from None
    return value


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Ipv4 = Annotated[str, AfterValidator(_check_ipv4)]
Port = Annotated[int, Field(ge=1, le=65_535)]


class TransportProtocol(StrEnum):
    """Transport of a service."""

    TCP = "tcp"
    UDP = "udp"


PROTOCOL_NUMBERS = {TransportProtocol.TCP: TCP, TransportProtocol.UDP: UDP}


class Model(BaseModel):
    """Base of all models of external data; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class BackendServerModel(Model):
    """A backend server as the operator declares it."""

    name: Name
    address: Ipv4
    port: Port
    state: ServerState = ServerState.ACTIVE
    weight: int = Field(default=1, ge=1, le=100)
    health_port: Port | None = None
    max_connections: int = Field(default=2_000, ge=1, le=1_000_000)
    data_centre: Name | None = None

    @model_serializer(mode="wrap")
    def _omit_missing_data_centre(
        self, handler: SerializerFunctionWrapHandler
    ) -> dict[str, Any]:
        """Omit the key where it is not declared.

        Balancers without this key reject a service that has it, so services that
        do not use it must stay readable for them during an upgrade.
        """
        document: dict[str, Any] = handler(self)
        if self.data_centre is None:
            document.pop("data_centre", None)
        return document

    def to_spec(self) -> BackendServerSpec:
        """Return the data class that the decision core works on."""
        return BackendServerSpec(
            server=server_id(self.name, self.address, self.port),
            state=self.state,
            weight=self.weight,
            health_port=self.health_port,
            max_connections=self.max_connections,
            data_centre=self.data_centre,
        )


class ServiceSpecModel(Model):
    """The declared part of a service."""

    address: Ipv4
    port: Port
    protocol: TransportProtocol = TransportProtocol.TCP
    policy: Policy = Policy.CONTINUITY
    idle_limit_seconds: float = Field(default=300.0, ge=1.0, le=7_200.0)
    backend_servers: tuple[BackendServerModel, ...] = Field(default=(), max_length=64)

    @model_validator(mode="after")
    def _check_unique(self) -> "ServiceSpecModel":
        names = [server.name for server in self.backend_servers]
        _reject_duplicates("backend_servers.name", names)
        endpoints = [
            f"{server.address}:{server.port}" for server in self.backend_servers
        ]
        _reject_duplicates("backend_servers address and port", endpoints)
        return self

    @property
    def key(self) -> int:
        """Return the key of the service's address."""
        destination = int(ipaddress.IPv4Address(self.address))
        return service_key(destination, self.port, PROTOCOL_NUMBERS[self.protocol])


class ServiceModel(Model):
    """A service resource."""

    kind: Literal["service"] = "service"
    organisation: Name
    name: Name
    spec: ServiceSpecModel

    @property
    def service(self) -> ServiceId:
        """Return the full name."""
        return ServiceId(f"{self.organisation}/{self.name}")

    def to_spec(self) -> ServiceSpec:
        """Return the data class that the decision core works on."""
        return ServiceSpec(
            service=self.service,
            key=self.spec.key,
            protocol=PROTOCOL_NUMBERS[self.spec.protocol],
            policy=self.spec.policy,
            idle_limit_millis=int(self.spec.idle_limit_seconds * MILLIS_PER_SECOND),
            servers=tuple(server.to_spec() for server in self.spec.backend_servers),
        )


class EvacuationModel(Model):
    """A request that new flows avoid the backend servers of a data centre."""

    kind: Literal["evacuation"] = "evacuation"
    data_centre: Name


def _reject_duplicates(what: str, values: list[str]) -> None:
    for index, value in enumerate(values):
        if value in values[:index]:
            raise ValueError(f"{what} {value!r} is given twice")


def describe_validation_error(error: ValidationError) -> str:
    """Return one line with the key, value and expectation of each error."""
    parts = []
    for item in error.errors(include_url=False):
        key = ".".join(str(part) for part in item["loc"]) or "document"
        value = repr(item.get("input"))
        shown = value if len(value) <= 60 else value[:57] + "..."
        parts.append(f"{key}={shown}: {item['msg']}")
    return "; ".join(parts)


def parse_service(text: str | bytes) -> ServiceModel:
    """Return the service that a JSON text declares.

    Raises
    ------
    StoattrayError
        INVALID_ARGUMENT or TOO_LARGE, with the key, the value and what was
        expected.
    """
    if len(text) > MAX_SERVICE_BYTES:
        reason = f"service of {len(text)} bytes: expected {MAX_SERVICE_BYTES} at most"
        raise StoattrayError(ErrorKind.TOO_LARGE, reason)
    try:
        return ServiceModel.model_validate_json(text)
    except ValidationError as error:
        reason = describe_validation_error(error)
        raise StoattrayError(ErrorKind.INVALID_ARGUMENT, reason) from None


def load_stored_service(text: str) -> ServiceModel | None:
    """Return the service in an entry of the store, or None if it is invalid."""
    try:
        return ServiceModel.model_validate_json(text)
    except ValidationError:
        return None


def load_stored_evacuation(text: str) -> EvacuationModel | None:
    """Return the evacuation in an entry of the store, or None if it is invalid."""
    try:
        return EvacuationModel.model_validate_json(text)
    except ValidationError:
        return None
