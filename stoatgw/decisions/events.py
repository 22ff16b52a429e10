"""The events that a balancer handles.

All times are microseconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Lifecycle(Enum):
    """A server's state in the endpoint list."""

    ACTIVE = "on"
    DRAINING = "fading"
    REMOVED = "off"


class EndpointUpdateKind(Enum):
    """What an endpoint update holds: changes, the complete list, a persisted one, or none."""

    DELTA = "diff"
    SNAPSHOT = "snapshot"
    CACHED = "disk"
    ERROR = "error"


class AttemptStatus(Enum):
    """How an attempt or a health check ended."""

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
        """Whether this proves that the attempt did not run and will not."""
        return self in (AttemptStatus.SHED, AttemptStatus.DIAL_FAILED, AttemptStatus.UNUSED)


class SessionMetricKind(Enum):
    """What a session metric measures: its load, or a message's latency."""

    LOAD = 1
    DELAY = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server of the endpoint list; `weight` is a live weight where the settings say so."""

    name: str
    lifecycle: Lifecycle = Lifecycle.ACTIVE
    zone: int = 0
    cell: int = 0
    machine_kind: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list; ERROR carries no endpoints."""

    kind: EndpointUpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client requests a connection; exactly one final answer is owed.

    `hint_us` is the work that its connection may cause; it counts only if `hint_valid`. `is_client_retry` is true for
    a repeat by the client itself, `is_returning` for a client that a peer's drain has sent away.
    """

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
    """A connection that was established before this balancer started, by attempt 0."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """The server accepted the connection; no deadline applies from here on."""

    request_id: str
    attempt: int
    server: str
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class SessionMetric:
    """A metric of an established session: its load (us of work a second) or a message's latency (ms)."""

    request_id: str
    attempt: int
    server: str
    kind: SessionMetricKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How an attempt ended; `is_final` means that no answer is owed any more."""

    request_id: str
    attempt: int
    server: str
    status: AttemptStatus
    elapsed_us: int
    is_final: bool
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected: nobody waits for this request any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of one health check; the load report follows `Settings.report_columns`."""

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
