"""The events that a balancer handles.

All times are in microseconds of the caller's clock.
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
    """What an endpoint update contains: changes, the complete list, a persisted copy of it, or no endpoints."""

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
        """Whether this status proves that the attempt has not run and will not run."""
        return self in (AttemptStatus.SHED, AttemptStatus.DIAL_FAILED, AttemptStatus.UNUSED)


class SessionMetricKind(Enum):
    """What a session metric measures: the load of the session, or the latency of a message."""

    LOAD = 1
    LATENCY = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server in the endpoint list; `weight` follows the server's load if `Settings.live_weights` is set."""

    name: str
    lifecycle: Lifecycle = Lifecycle.ACTIVE
    zone: int = 0
    cell: int = 0
    machine_kind: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list; one of kind ERROR contains no endpoints."""

    kind: EndpointUpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client requests a connection; the request gets exactly one final answer.

    Attributes:
        request_id: Identifies the request.
        request_class: Index of its class in `Settings.profiles`.
        time_left_us: Time left until the final answer is due.
        tenant: Index of the client's tenant.
        idempotency_key: Key by which servers recognise repeats of the request, if it has one.
        group: Group that the connection belongs to, if any.
        hint_us: Work that the connection may cause, in microseconds; ignored unless `hint_valid`.
        hint_valid: Whether `hint_us` may be used.
        is_client_retry: Whether the client repeats a request of its own.
        is_mid_flow: Whether the request continues a flow of earlier ones; not used by this policy.
        is_returning: Whether the client reconnects because a peer has drained.
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
    """A connection was established, by attempt 0, before this balancer started."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """The server accepted the connection; from now on no deadline applies."""

    request_id: str
    attempt: int
    server: str
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class SessionMetric:
    """A metric of an established session: its load (µs of work per second) or the latency of a message (ms)."""

    request_id: str
    attempt: int
    server: str
    kind: SessionMetricKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """An attempt or an established connection has ended; `is_final` means that the request needs no further answer."""

    request_id: str
    attempt: int
    server: str
    status: AttemptStatus
    elapsed_us: int
    is_final: bool
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected and no longer waits for an answer to the request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of one health check; the values of the load report are in the order of `Settings.report_columns`."""

    server: str
    status: AttemptStatus
    elapsed_us: int
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another balancer."""

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
