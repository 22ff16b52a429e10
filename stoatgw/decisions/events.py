"""The events that a balancer handles.

All times are microseconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
