"""The settings that a balancer is created with, and the request classes in them.

Zones, request classes, tenants and machine kinds are indices into the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names it."""


class Idempotency(Enum):
    """Whether a request of a class may be repeated once it may have run.

    Attributes:
        RETRYABLE: It may be repeated on any server.
        DEDUP: It may be repeated on servers that recognise its idempotency key.
        FRAGILE: It must not be repeated.
    """

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


class KeyScope(Enum):
    """Which servers recognise the idempotency key of a DEDUP request and drop its repeats.

    Attributes:
        ALL: All servers.
        ZONE: The servers in the zone of the server that ran it first.
        CELL: The servers in the cell of the server that ran it first.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One request class.

    Attributes:
        on_time_us: Time within which a request counts as served on time, in microseconds.
        deadline_us: Time until the final answer is due, in microseconds.
        worth: Priority weight, relative to those of the other classes.
        idempotency: Whether a request that may have run may be repeated.
        key_scope: Which servers recognise the idempotency key of a DEDUP request.
        key_ttl_us: How long a server recognises an idempotency key, in microseconds.
        message_aim_us: Latency objective for the messages of its sessions, in microseconds.
        name: Name of the class.
    """

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
    """The settings that a balancer is created with; the attributes mirror the names of the platform's settings.

    Attributes:
        profiles: The request classes, in the order of their indices.
        balancers: Number of balancers that send connections to the same servers.
        rank: Index of this balancer; an index beyond the number of balancers wraps around.
        zone: Index of this balancer's zone, the local zone.
        max_attempts: Maximum number of attempts for one request.
        can_probe: Whether the balancer may check the health of servers.
        probe_price: Cost of one health check relative to serving one client; 0 if checks are free.
        live_weights: Whether the weights in the endpoint list follow the load of the servers.
        can_tell: Whether the balancer may send messages to its peers; not used by this policy.
        can_cancel: Whether the balancer may cancel an attempt; not used by this policy.
        can_advise_retry_after: Whether a rejection may contain a retry delay.
        parallel_tries: Whether a request may have several attempts in flight; not used by this policy.
        max_retry_after_us: Maximum retry delay of a rejection, in microseconds.
        counted_by_work: Whether load is counted by work instead of by requests; not used by this policy.
        must_subscribe: Whether the balancer has to subscribe to the endpoint list itself.
        pass_mode: Whether connections are passed on instead of proxied; not used by this policy.
        park_us: How long a request may be parked, in microseconds; not used by this policy.
        groups: Whether requests have groups; the first connection of a group costs a server more than later ones.
        over_share_worth: Factor on the priority weight of a tenant that exceeds its quota; at most 1 is applied.
        tenants: Names of the tenants, as session requests contain them, in the order of the quotas.
        tenant_quota_connections: Quota of each tenant, in connections through all balancers; infinite for no limit.
        report_columns: Names of the values in a load report, in order.
        answer_slack_us: Tolerance for late final answers, in microseconds; not used by this policy.
        ask_within_us: Time within which a required subscription must be requested, in microseconds; not used here.
        cold_from: Fraction of its full capacity that a server has when its process starts.
        cold_us: Duration of the warm-up to full capacity, in microseconds.
        drain_grace_us: How long a server may still be sent requests after it starts to drain, in microseconds.
        fall_multiple: Slow-start budget as a multiple of a server's current capacity; a server sent more collapses.
        fall_us: Window of the slow-start budget, in microseconds.
        granularity_us: Interval of the batches in which the caller processes events, in microseconds.
    """

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
        for name, is_valid in checks:
            if not is_valid:
                raise SettingsError(f"setting {name} is missing or impossible")
        for index, profile in enumerate(self.profiles):
            if profile.deadline_us <= 0:
                raise SettingsError(f"setting profiles.{index}.deadline_us is missing or impossible")
            if profile.on_time_us <= 0:
                raise SettingsError(f"setting profiles.{index}.on_time_us is missing or impossible")
            if not 0.0 <= profile.worth < float("inf"):
                raise SettingsError(f"setting profiles.{index}.worth is missing or impossible")
