"""LB_CONFIG into a Deployment: what a proxy is told at its start."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import orjson

from stoatgw.config.settings import flatten, read_settings
from stoatgw.decisions.interface import Settings, SettingsError

T = TypeVar("T")


class ConfigError(ValueError):
    """The configuration cannot be used; the message names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Deployment:
    """All that the program goes by."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: dict[str, Any] | None
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    dial_timeout_us: int
    idle_us: int
    tells_delay: bool
    tells_load: bool
    management: Address | None = None  # the operators' own address; none, and there is no such listener


def load(path: str) -> Deployment:
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: cannot read {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"LB_CONFIG: {path} is no JSON: {error}") from None
    deployment = read(data)
    # A second process beside the first may be told of the same file, and of its own address in this.
    own = os.environ.get("LB_MANAGEMENT")
    return replace(deployment, management=read_address(own, "LB_MANAGEMENT")) if own else deployment


def read(data: Any) -> Deployment:
    if not isinstance(data, dict):
        raise ConfigError("LB_CONFIG: not a JSON object")
    settings = _get(data, "settings", dict)
    pairs = flatten(settings)
    try:
        built = read_settings(pairs)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    limits = data.get("limits") or {}
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    return Deployment(
        name=_get(data, "name", str),
        listen=read_address(_get(data, "listen", str), "listen"),
        discovery=read_address(_get(data, "discovery", str), "discovery"),
        seed=_seed(_get(data, "seed", str)),
        sockets=_whole(limits.get("sockets", 1024), "limits.sockets"),
        known=_get(data, "known", dict) if data.get("known") is not None else None,
        settings=built,
        zones=_names(settings, "areas"),
        kinds=_names(settings, "kinds"),
        dial_timeout_us=_whole(pairs.get("bounds.dial_timeout_us", "250000"), "bounds.dial_timeout_us"),
        idle_us=_whole(pairs.get("bounds.conn_idle_us", "5000000"), "bounds.conn_idle_us"),
        tells_delay=pairs.get("domain.tells_delay") == "true",
        tells_load=pairs.get("domain.tells_load") == "true",
        management=read_address(_get(data, "management", str), "management") if data.get("management") else None,
    )


def read_address(text: str, field: str) -> Address:
    host, found, port = text.rpartition(":")
    if not found or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{field}: {text[:60]!r} is no host:port")
    return Address(host, int(port))


def _get(data: dict[str, Any], field: str, kind: type[T]) -> T:
    value = data.get(field)
    if not isinstance(value, kind):
        raise ConfigError(f"{field}: missing, or not a {kind.__name__}")
    return value


def _names(settings: dict[str, Any], field: str) -> tuple[str, ...]:
    names = settings.get(field, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"settings.{field}: not a list of names")
    return tuple(names)


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text[:40]!r} is not hex") from None


def _whole(value: Any, field: str) -> int:
    try:
        number = int(float(value))
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"{field}: {str(value)[:40]!r} is no number") from None
    if number <= 0:
        raise ConfigError(f"{field}: must be over 0")
    return number
