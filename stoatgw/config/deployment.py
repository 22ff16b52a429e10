"""Parses LB_CONFIG, the platform's JSON file, into the `Deployment` that a proxy starts with."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import orjson

from stoatgw.config.errors import ConfigError
from stoatgw.config.settings import flatten, read_settings
from stoatgw.decisions.interface import Settings, SettingsError

T = TypeVar("T")
LB_CONFIG = "LB_CONFIG"
LB_MANAGEMENT = "LB_MANAGEMENT"
MAX_PORT = 65535
DEFAULT_MAX_SOCKETS = 1024
DEFAULT_DIAL_TIMEOUT_US = "250000"
DEFAULT_IDLE_TIMEOUT_US = "5000000"


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP endpoint; `host` is an IP address or a host name."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Deployment:
    """The platform's configuration of a proxy, read when the proxy starts.

    Attributes:
        name: The proxy's name, unique among the proxies.
        listen_address: Where clients connect.
        discovery_address: The discovery service, whose endpoint list is watched.
        seed: Seed of the random generators.
        max_sockets: Limit of open file descriptors, greater than 0.
        initial_endpoints: The platform's endpoint list in discovery's JSON; None if LB_CONFIG has none.
        settings: The site's settings for the decisions.
        zones: Zone names by index.
        machine_types: Names of the machine kinds by index.
        dial_timeout_us: Timeout of a connect to a session server, greater than 0.
        idle_timeout_us: How long an unused server connection is kept, greater than 0.
        reports_message_latency: Whether message latencies are measured for the decisions.
        reports_session_load: Whether session loads are measured for the decisions.
        management_address: Address of the management API; None disables the API.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    max_sockets: int
    initial_endpoints: dict[str, Any] | None
    settings: Settings
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]
    dial_timeout_us: int
    idle_timeout_us: int
    reports_message_latency: bool
    reports_session_load: bool
    management_address: Address | None = None


def load_deployment(path: str) -> Deployment:
    """Read LB_CONFIG's file; LB_MANAGEMENT in the environment overrides the management address.

    Raises:
        ConfigError: The file cannot be read, is not JSON, or contains an invalid value.
    """
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}", file=LB_CONFIG) from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path} is not JSON: {error}", file=LB_CONFIG) from error
    deployment = parse_deployment(data)
    # Two processes on one machine may share the file; the variable then gives the second its own management address.
    override = os.environ.get(LB_MANAGEMENT)
    if not override:
        return deployment
    return replace(deployment, management_address=parse_address(override, LB_MANAGEMENT))


def parse_deployment(data: Any) -> Deployment:
    """Validate the parsed JSON of LB_CONFIG.

    Raises:
        ConfigError: A field is missing, has the wrong type or is out of range.
    """
    if not isinstance(data, dict):
        raise ConfigError("not a JSON object", file=LB_CONFIG)
    raw_settings = _require(data, "settings", dict)
    pairs = flatten(raw_settings)
    try:
        settings = read_settings(pairs)
    except SettingsError as error:
        raise ConfigError(str(error), field="settings") from error
    limits = data.get("limits") or {}
    if not isinstance(limits, dict):
        raise ConfigError("not an object", field="limits")
    return Deployment(
        name=_require(data, "name", str),
        listen_address=parse_address(_require(data, "listen", str), "listen"),
        discovery_address=parse_address(_require(data, "discovery", str), "discovery"),
        seed=_parse_seed(_require(data, "seed", str)),
        max_sockets=_parse_positive_integer(limits.get("sockets", DEFAULT_MAX_SOCKETS), "limits.sockets"),
        initial_endpoints=_require(data, "known", dict) if data.get("known") is not None else None,
        settings=settings,
        zones=_parse_names(raw_settings, "areas"),
        machine_types=_parse_names(raw_settings, "kinds"),
        dial_timeout_us=_parse_duration_us(pairs, "bounds.dial_timeout_us", DEFAULT_DIAL_TIMEOUT_US),
        idle_timeout_us=_parse_duration_us(pairs, "bounds.conn_idle_us", DEFAULT_IDLE_TIMEOUT_US),
        reports_message_latency=pairs.get("domain.tells_delay") == "true",
        reports_session_load=pairs.get("domain.tells_load") == "true",
        management_address=(
            parse_address(_require(data, "management", str), "management") if data.get("management") else None
        ),
    )


def parse_address(text: str, field: str) -> Address:
    """Parse `host:port`.

    Raises:
        ConfigError: `text`, the value of `field`, is not `host:port`.
    """
    host, found, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not found or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{text[:60]!r} is not host:port", field=field)
    return Address(host, int(port))


def _require(data: dict[str, Any], field: str, kind: type[T]) -> T:
    value = data.get(field)
    if not isinstance(value, kind):
        raise ConfigError(f"missing, or not a {kind.__name__}", field=field)
    return value


def _parse_names(settings: dict[str, Any], field: str) -> tuple[str, ...]:
    names = settings.get(field, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError("not a list of names", field=f"settings.{field}")
    return tuple(names)


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"{text[:40]!r} is not hex", field="seed") from error


def _parse_duration_us(pairs: dict[str, str], path: str, default: str) -> int:
    return _parse_positive_integer(pairs.get(path, default), path)


def _parse_positive_integer(value: Any, field: str) -> int:
    try:
        number = int(float(value))
    except (TypeError, ValueError, OverflowError) as error:
        raise ConfigError(f"{str(value)[:40]!r} is not a number", field=field) from error
    if number <= 0:
        raise ConfigError("must be greater than 0", field=field)
    return number
