"""Settings of a balancer with cookie placement, validated without heavy libraries."""

import json
from typing import Any, NamedTuple

from stoattray_core._errors import ErrorKind, StoattrayError
from stoattray_core._identifiers import Address
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.warm_up_budget import WarmUpBounds

LOG_LEVELS = ("info", "error")
FIXED_AT_START = (
    "member",
    "data_centre",
    "host",
    "advertised_host",
    "seed_server",
    "metrics",
    "peer_port",
    "min_lease_ms",
    "flow_life_ms",
    "warm_up_bounds",
    "remote_traffic",
)
"""Settings that take effect only after a restart; others are applied on reload."""

MAX_ROUND_TRIP_MILLIS = 1_000
MAX_PRICE_MILLIS = 600_000
"""Upper bounds of the limits of traffic between data centres; a price of ten minutes
keeps all openings that a local server can take."""

_UNSET = object()


class SteeringSettings(NamedTuple):
    """Validated settings; `docs/OPERATIONS.md` gives unit and range of each."""

    member: str
    data_centre: str
    host: str
    advertised_host: str
    seed_server: Address | None
    metrics: Address
    peer_port: int
    seeds: tuple[Address, ...]
    store: Address
    store_reads_per_second: float
    min_lease_ms: int
    flow_life_ms: int
    grace_ms: int
    log_level: str
    warm_up_bounds: WarmUpBounds | None = None
    remote_traffic: RemoteTrafficSettings | None = None


def load_steering_settings(path: str) -> SteeringSettings:
    """Read and validate a settings file.

    Raises
    ------
    StoattrayError
        If the file can't be read, or a setting is missing or out of range.
    """
    try:
        with open(path, encoding="utf-8") as file:
            values = json.load(file)
    except (OSError, ValueError) as error:
        raise _invalid(f"{path}: {error}") from error
    if not isinstance(values, dict):
        raise _invalid(f"{path}: expected an object")
    return _SettingsReader(values).read()


class _SettingsReader:
    """Reads typed and range-checked values from a JSON object."""

    def __init__(self, values: dict[str, Any], prefix: str = "") -> None:
        self._values = values
        self._prefix = prefix

    def read(self) -> SteeringSettings:
        host = self._text("host")
        peer_port = self._number("peer_port", 1, 65_535)
        seed_server = self._text("seed_server", "")
        return SteeringSettings(
            member=self._text("member"),
            data_centre=self._text("data_centre"),
            host=host,
            advertised_host=self._text("advertised_host", host),
            seed_server=_parse_address("seed_server", seed_server)
            if seed_server
            else None,
            metrics=(host, int(self._number("metrics_port", 1, 65_535))),
            peer_port=int(peer_port),
            seeds=self._addresses("seeds"),
            store=self._address("store"),
            store_reads_per_second=self._number("store_reads_per_second", 1, 1e9),
            min_lease_ms=int(self._number("min_lease_ms", 1, 600_000)),
            flow_life_ms=int(self._number("flow_life_seconds", 1, 86_400) * 1_000),
            grace_ms=int(self._number("grace_seconds", 1, 3_600) * 1_000),
            log_level=self._choice("log_level", LOG_LEVELS),
            warm_up_bounds=self._warm_up_bounds(),
            remote_traffic=self._remote_traffic(),
        )

    def _remote_traffic(self) -> RemoteTrafficSettings | None:
        """Return the limits of traffic between data centres, or None if unset."""
        values = self._value("remote_traffic", None)
        if values is None:
            return None
        if not isinstance(values, dict):
            raise _invalid(f"remote_traffic: {values!r} is not an object")
        reader = _SettingsReader(values, "remote_traffic.")
        return RemoteTrafficSettings(
            reader._number("min_round_trip_ms", 0, MAX_ROUND_TRIP_MILLIS),
            reader._number("price_ms", 0, MAX_PRICE_MILLIS, default=0.0),
        )

    def _warm_up_bounds(self) -> WarmUpBounds | None:
        """Return the allowance for cold servers; None if both settings are missing."""
        names = ("warm_up_overage", "warm_up_slack")
        if not any(name in self._values for name in names):
            return None
        overage = self._number("warm_up_overage", 0, 1_000)
        slack = self._number("warm_up_slack", 0, 1e6)
        return WarmUpBounds(float(overage), float(slack))

    def _value(self, name: str, default: Any = _UNSET) -> Any:
        value = self._values.get(name, default)
        if value is _UNSET:
            raise _invalid(f"{self._prefix}{name}: is missing")
        return value

    def _text(self, name: str, default: Any = _UNSET) -> str:
        value = self._value(name, default)
        if not isinstance(value, str):
            raise _invalid(f"{name}: {value!r} is not a string")
        return value

    def _choice(self, name: str, values: tuple[str, ...]) -> str:
        """Return a value out of `values`, the first one by default."""
        value = self._text(name, values[0])
        if value not in values:
            raise _invalid(f"{name}: {value!r} is not one of {', '.join(values)}")
        return value

    def _number(
        self, name: str, minimum: float, maximum: float, default: Any = _UNSET
    ) -> float:
        value = self._value(name, default)
        path = self._prefix + name
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise _invalid(f"{path}: {value!r} is not a number")
        if not minimum <= value <= maximum:
            raise _invalid(f"{path}: {value} is not from {minimum:g} to {maximum:g}")
        return value

    def _address(self, name: str) -> Address:
        return _parse_address(name, self._text(name))

    def _addresses(self, name: str) -> tuple[Address, ...]:
        values = self._value(name)
        if not isinstance(values, list):
            raise _invalid(f"{name}: {values!r} is not a list")
        return tuple(_parse_address(name, value) for value in values)


def _parse_address(name: str, value: Any) -> Address:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise _invalid(f"{name}: {value!r} is not host:port")
    return host, int(port)


def _invalid(reason: str) -> StoattrayError:
    return StoattrayError(ErrorKind.INVALID_ARGUMENT, reason)
