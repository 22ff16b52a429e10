"""Settings from path=value pairs, as the simulator's wire and LB_CONFIG both give them."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeVar

from stoatgw.decisions.interface import Idempotency, KeyScope, RequestClass, Settings, SettingsError

T = TypeVar("T")


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested JSON as the wire's pairs: plain lists joined with commas, lists of objects counted."""
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
        return {path: ",".join(_plain(item) for item in value)}
    return {path: "-" if value is None else _plain(value)}


def _plain(value: Any) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    return value if isinstance(value, str) else repr(value)


def _read_number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _read_bool(text: str) -> bool:
    return {"true": True, "1": True, "false": False, "0": False}[text]


def read_settings(pairs: dict[str, str]) -> Settings:
    """Build Settings from the path=value pairs; unknown paths are ignored."""

    def get(path: str, read: Callable[[str], T], default: T | None = None) -> T:
        text = pairs.get(path)
        if text is None or text == "-":
            if default is None:
                raise SettingsError(f"setting {path} is missing")
            return default
        try:
            return read(text)
        except (ValueError, KeyError, OverflowError):
            raise SettingsError(f"setting {path} cannot be {text[:40]!r}") from None

    def integer(text: str) -> int:
        return int(_read_number(text))

    def words(text: str) -> tuple[str, ...]:
        return tuple(part for part in text.split(",") if part)

    def numbers(text: str) -> tuple[float, ...]:
        # A place without a number holds "null": no quota, no aim.
        return tuple(math.inf if part == "null" else _read_number(part) for part in words(text))

    no_numbers: tuple[float, ...] = ()
    aims = get("domain.message_aim_us", numbers, no_numbers)
    profiles = []
    for index in range(get("profiles.count", integer)):
        path = f"profiles.{index}."
        deadline_us = get(path + "deadline_us", integer)
        profiles.append(
            RequestClass(
                on_time_us=get(path + "on_time_us", integer, deadline_us),
                deadline_us=deadline_us,
                worth=get(path + "worth", _read_number, 1.0),
                idempotency=get(path + "idempotency", Idempotency),
                key_scope=get(path + "key_scope", KeyScope, KeyScope.ALL),
                key_ttl_us=get(path + "key_ttl_us", integer, 0),
                message_aim_us=aims[index] if index < len(aims) else math.inf,
                name=get(path + "name", str, f"class {index}"),
            )
        )
    via = get("report.via", str, "off")
    return Settings(
        profiles=tuple(profiles),
        balancers=get("balancers", integer),
        rank=get("rank", integer, 0),
        zone=get("locality", integer, 0),
        max_attempts=get("bounds.max_attempts", integer),
        can_probe=get("bounds.probes", _read_bool, False),
        probe_price=get("prices.probe", _read_number, 0.0),
        live_weights=get("weights", str, "off") == "live",
        can_tell=get("bounds.peers", _read_bool, False),
        can_cancel=get("bounds.cancelling", _read_bool, False),
        can_advise_retry_after=get("bounds.retry_after", _read_bool, False),
        parallel_tries=get("bounds.parallel_tries", _read_bool, False),
        max_retry_after_us=get("bounds.max_retry_after_us", integer, 0),
        counted_by_work=get("counted_by", str, "request") == "work",
        must_subscribe=get("discovery", str, "automatic") == "subscribe",
        pass_mode=get("domain.mode", str, "proxy") == "pass",
        park_us=get("domain.park_us", integer, 0),
        groups=get("domain.groups", _read_bool, False),
        tenants=tuple(get(f"tenants.{index}.name", str, "") for index in range(get("tenants.count", integer, 0))),
        over_share_worth=get("over_share_worth", _read_number, 1.0),
        tenant_quota_connections=get("domain.tenant_quota_connections", numbers, no_numbers),
        report_columns=() if via == "off" else get("report.columns", words, ()),
        answer_slack_us=get("rules.answer_slack_us", integer, 0),
        ask_within_us=get("rules.ask_within_us", integer, 0),
        cold_from=get("rules.cold_from", _read_number, 1.0),
        cold_us=get("rules.cold_us", integer, 0),
        drain_grace_us=get("rules.drain_grace_us", integer),
        fall_multiple=get("rules.fall_multiple", _read_number, 1.0),
        fall_us=get("rules.fall_us", integer, 0),
        granularity_us=get("granularity_us", integer, 0),
    )
