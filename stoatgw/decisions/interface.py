"""What the decision module takes and gives: settings, events, actions. No wire, no decisions.

All times are microseconds of the caller's clock; names that end in `_us` say so. Zones, classes,
tenants and machine kinds are indices into the settings' lists and carry no meaning of their own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or cannot be right; the message names it."""


class Idempotency(Enum):
    """What repeating a request of a class may do."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


class KeyScope(Enum):
    """Which servers drop the repeats of a DEDUP request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Lifecycle(Enum):
    """A server's state in the list."""

    ACTIVE = "on"
    DRAINING = "fading"
    REMOVED = "off"


class EndpointUpdateKind(Enum):
    """What a list update holds."""

    DELTA = "diff"
    SNAPSHOT = "snapshot"
    CACHED = "disk"
    ERROR = "error"


class AttemptStatus(Enum):
    """How an attempt or a probe ended."""

    DELIVERED = "delivered"
    APP_ERROR = "app_error"
    SHED = "shed"
    EXPIRED = "expired"
    DIAL_FAILED = "dial_failed"
    DROPPED = "dropped"
    REVOKED = "revoked"
    UNUSED = "unused"

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the attempt did not run and will not."""
        return self in (AttemptStatus.SHED, AttemptStatus.DIAL_FAILED, AttemptStatus.UNUSED)


class SessionMetricKind(Enum):
    """What a note about a running attempt tells."""

    LOAD = 1
    DELAY = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One request class."""

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
    """What a balancer is told once, at its start."""

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
    tenants: tuple[str, ...] = ()  # by name, as clients' lines tell them; the same order as the quotas
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


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the server list."""

    name: str
    lifecycle: Lifecycle = Lifecycle.ACTIVE
    zone: int = 0
    cell: int = 0
    machine_kind: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the server list; ERROR carries no entries."""

    kind: EndpointUpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks for a connection; exactly one final answer is owed."""

    request_id: str
    request_class: int
    time_left_us: int
    tenant: int = 0
    idempotency_key: int | None = None
    group: int | None = None
    hint_us: float | None = None
    hint_valid: bool = False
    is_client_retry: bool = False
    is_mid_flow: bool = False
    is_returning: bool = False


@dataclass(frozen=True, slots=True)
class SessionRestored:
    """A connection that stood before this balancer started; its attempt 0 was made."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """The server took the connection; no deadline binds from here on."""

    request_id: str
    attempt: int
    server: str
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class SessionMetric:
    """News of a running attempt: its load (us of work a second) or a message's delay (ms)."""

    request_id: str
    attempt: int
    server: str
    kind: SessionMetricKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How an attempt ended; `final` means that no answer is owed any more."""

    request_id: str
    attempt: int
    server: str
    status: AttemptStatus
    elapsed_us: int
    is_final: bool
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Nobody waits for this request any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer asked for by SetTimer has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """What the module believes of a ready server now, for whoever plans moves."""

    server: str
    zone: int
    load: float  # over what it can do now
    load_per_connection: float  # what one mean connection adds to that
    connections: float  # connections held, by all balancers
    report_age_us: int  # of its last report
    warm_up_fraction: float  # part of its full capacity that it has by now
    setups_in_flight: int  # own set-ups
    is_healthy: bool  # neither left out nor failing nor late
    own_sessions: tuple[Request, ...]  # own standing connections on it that are not moving


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """What one probe found; the report follows `Settings.report_columns`."""

    server: str
    status: AttemptStatus
    elapsed_us: int
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another balancer."""

    sender: int
    payload: bytes


Event = (
    EndpointUpdate
    | Request
    | SessionRestored
    | AttemptEstablished
    | SessionMetric
    | AttemptOutcome
    | ClientDisconnected
    | TimerExpired
    | HealthCheckResult
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it is given up at `cut_at_us`."""

    request_id: str
    server: str
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, a repeat is harmless. Zero means no advice."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Migrate:
    """Close a standing connection cleanly; its client comes back."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close the subscription to the server list."""

    is_wanted: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask once for the whole server list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue at a time of the clock."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check on a server and read its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Give back idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Gossip:
    """A message to one peer, or to all of them where `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    message: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | Migrate
    | Subscribe
    | FetchEndpoints
    | SetTimer
    | CheckHealth
    | CloseIdle
    | Gossip
    | Log
)
