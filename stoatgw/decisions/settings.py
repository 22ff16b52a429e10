"""The settings that a balancer is created with, and the request classes in them.

Zones, classes, tenants and machine kinds are indices into the settings' lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or cannot be right; the message names it."""


class Idempotency(Enum):
    """Whether a request of a class may be repeated: at will, by its idempotency key, or never once it may have run."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


class KeyScope(Enum):
    """Which servers recognise the idempotency key of a DEDUP request, and drop its repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One request class; `worth` is its priority weight."""

    on_time_us: int
    deadline_us: int
    worth: float = 1.0
    idempotency: Idempotency = Idempotency.RETRYABLE
    key_scope: KeyScope = KeyScope.ALL
    key_ttl_us: int = 0
    message_aim_us: float = float("inf")
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is created with; the names mirror the platform's settings."""

    profiles: tuple[RequestClass, ...]
    balancers: int = 1
    rank: int = 0
    zone: int = 0
    max_attempts: int = 1
    can_probe: bool = False
    probe_price: float = 0.0
    live_weights: bool = False
    can_tell: bool = False
    can_cancel: bool = False
    can_advise_retry_after: bool = False
    parallel_tries: bool = False
    max_retry_after_us: int = 0
    counted_by_work: bool = False
    must_subscribe: bool = False
    pass_mode: bool = False
    park_us: int = 0
    groups: bool = False
    over_share_worth: float = 1.0
    tenants: tuple[str, ...] = ()  # by name, as session requests carry them; in the order of the quotas
    tenant_quota_connections: tuple[float, ...] = ()
    report_columns: tuple[str, ...] = ()
    answer_slack_us: int = 0
    ask_within_us: int = 0
    cold_from: float = 1.0
    cold_us: int = 0
    drain_grace_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    granularity_us: int = 0

    def __post_init__(self) -> None:
        checks = (
            ("profiles.count", len(self.profiles) > 0),
            ("balancers", self.balancers >= 1),
            ("rank", self.rank >= 0),
            ("bounds.max_attempts", self.max_attempts >= 1),
            ("rules.cold_from", 0.0 < self.cold_from <= 1.0),
            ("rules.cold_us", self.cold_us >= 0),
            ("rules.fall_multiple", 0.0 < self.fall_multiple < float("inf")),
            ("rules.fall_us", self.fall_us >= 0),
            ("rules.drain_grace_us", self.drain_grace_us >= 0),
        )
        for name, good in checks:
            if not good:
                raise SettingsError(f"setting {name} is missing or impossible")
        for index, profile in enumerate(self.profiles):
            if profile.deadline_us <= 0:
                raise SettingsError(f"setting profiles.{index}.deadline_us is missing or impossible")
            if profile.on_time_us <= 0:
                raise SettingsError(f"setting profiles.{index}.on_time_us is missing or impossible")
            if not 0.0 <= profile.worth < float("inf"):
                raise SettingsError(f"setting profiles.{index}.worth is missing or impossible")
