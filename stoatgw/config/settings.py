"""Parses the decisions' settings from path=value pairs, which the simulator's wire and LB_CONFIG contain."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

from stoatgw.decisions.interface import Idempotency, KeyScope, RequestClass, Settings, SettingsError

T = TypeVar("T")
E = TypeVar("E", bound=Enum)

ABSENT = "-"  # an optional setting without a value
UNLIMITED = "null"  # an item without a limit in a list of limits
BOOLEANS = {"true": True, "1": True, "false": False, "0": False}
NO_REPORTS = "off"


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Flatten nested JSON into path=value pairs.

    A list of scalars becomes one value, joined with commas; a list of objects becomes one path for each index, and
    `path.count`.
    """
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, item in value.items():
            pairs |= flatten(item, f"{path}.{name}" if path else str(name))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{index}")
            return pairs
        return {path: ",".join(_format_scalar(item) for item in value)}
    return {path: ABSENT if value is None else _format_scalar(value)}


def _format_scalar(value: Any) -> str:
    if value is None:
        return UNLIMITED
    if isinstance(value, bool):
        return "true" if value else "false"
    return value if isinstance(value, str) else repr(value)


class _SettingsReader:
    """Typed access to path=value pairs. A path without a default is required.

    All methods raise SettingsError with the path of a setting that is missing or cannot be parsed.
    """

    def __init__(self, pairs: dict[str, str]) -> None:
        self._pairs = pairs

    def integer(self, path: str, default: int | None = None) -> int:
        """Read an integer; a fraction is truncated."""
        return self._read(path, _parse_integer, default)

    def number(self, path: str, default: float | None = None) -> float:
        """Read a finite number."""
        return self._read(path, _parse_number, default)

    def flag(self, path: str) -> bool:
        """Read a boolean, false by default."""
        return self._read(path, BOOLEANS.__getitem__, False)

    def text(self, path: str, default: str) -> str:
        """Read a text."""
        return self._read(path, str, default)

    def choice(self, path: str, kind: type[E], default: E | None = None) -> E:
        """Read a member of an enumeration by its value."""
        return self._read(path, kind, default)

    def names(self, path: str) -> tuple[str, ...]:
        """Read a list of names separated by commas, empty by default."""
        return self._read(path, _parse_names, ())

    def limits(self, path: str) -> tuple[float, ...]:
        """Read a list of limits separated by commas, empty by default; an item without a limit is infinity."""
        return self._read(path, _parse_limits, ())

    def _read(self, path: str, parse: Callable[[str], T], default: T | None) -> T:
        text = self._pairs.get(path)
        if text is None or text == ABSENT:
            if default is None:
                raise SettingsError(f"setting {path} is missing")
            return default
        try:
            return parse(text)
        except (ValueError, KeyError, OverflowError) as error:
            raise SettingsError(f"setting {path} cannot be {text[:40]!r}") from error


def _parse_number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _parse_integer(text: str) -> int:
    return int(_parse_number(text))


def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(part for part in text.split(",") if part)


def _parse_limits(text: str) -> tuple[float, ...]:
    return tuple(math.inf if part == UNLIMITED else _parse_number(part) for part in _parse_names(text))


def read_settings(pairs: dict[str, str]) -> Settings:
    """Build the settings from path=value pairs; unknown paths are ignored.

    Raises:
        SettingsError: A setting is missing, cannot be parsed, or is out of range.
    """
    reader = _SettingsReader(pairs)
    return Settings(
        profiles=_read_request_classes(reader),
        balancers=reader.integer("balancers"),
        rank=reader.integer("rank", 0),
        zone=reader.integer("locality", 0),
        max_attempts=reader.integer("bounds.max_attempts"),
        can_probe=reader.flag("bounds.probes"),
        probe_price=reader.number("prices.probe", 0.0),
        live_weights=reader.text("weights", "off") == "live",
        can_tell=reader.flag("bounds.peers"),
        can_cancel=reader.flag("bounds.cancelling"),
        can_advise_retry_after=reader.flag("bounds.retry_after"),
        parallel_tries=reader.flag("bounds.parallel_tries"),
        max_retry_after_us=reader.integer("bounds.max_retry_after_us", 0),
        counted_by_work=reader.text("counted_by", "request") == "work",
        must_subscribe=reader.text("discovery", "automatic") == "subscribe",
        pass_mode=reader.text("domain.mode", "proxy") == "pass",
        park_us=reader.integer("domain.park_us", 0),
        groups=reader.flag("domain.groups"),
        tenants=_read_tenants(reader),
        over_share_worth=reader.number("over_share_worth", 1.0),
        tenant_quota_connections=reader.limits("domain.tenant_quota_connections"),
        report_columns=_read_report_columns(reader),
        answer_slack_us=reader.integer("rules.answer_slack_us", 0),
        ask_within_us=reader.integer("rules.ask_within_us", 0),
        cold_from=reader.number("rules.cold_from", 1.0),
        cold_us=reader.integer("rules.cold_us", 0),
        drain_grace_us=reader.integer("rules.drain_grace_us"),
        fall_multiple=reader.number("rules.fall_multiple", 1.0),
        fall_us=reader.integer("rules.fall_us", 0),
        granularity_us=reader.integer("granularity_us", 0),
    )


def _read_request_classes(reader: _SettingsReader) -> tuple[RequestClass, ...]:
    objectives_us = reader.limits("domain.message_aim_us")
    return tuple(
        _read_request_class(reader, index, objectives_us[index] if index < len(objectives_us) else math.inf)
        for index in range(reader.integer("profiles.count"))
    )


def _read_request_class(reader: _SettingsReader, index: int, latency_objective_us: float) -> RequestClass:
    path = f"profiles.{index}"
    deadline_us = reader.integer(f"{path}.deadline_us")
    return RequestClass(
        on_time_us=reader.integer(f"{path}.on_time_us", deadline_us),
        deadline_us=deadline_us,
        worth=reader.number(f"{path}.worth", 1.0),
        idempotency=reader.choice(f"{path}.idempotency", Idempotency),
        key_scope=reader.choice(f"{path}.key_scope", KeyScope, KeyScope.ALL),
        key_ttl_us=reader.integer(f"{path}.key_ttl_us", 0),
        message_aim_us=latency_objective_us,
        name=reader.text(f"{path}.name", f"class {index}"),
    )


def _read_tenants(reader: _SettingsReader) -> tuple[str, ...]:
    return tuple(reader.text(f"tenants.{index}.name", "") for index in range(reader.integer("tenants.count", 0)))


def _read_report_columns(reader: _SettingsReader) -> tuple[str, ...]:
    if reader.text("report.via", NO_REPORTS) == NO_REPORTS:
        return ()
    return reader.names("report.columns")
