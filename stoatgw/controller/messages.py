"""What passes between the owner of the decisions and the sockets. No line protocol here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stoatgw.decisions.interface import AttemptStatus, EndpointUpdate, Request, SessionMetricKind


class AttemptStage(Enum):
    """How far an attempt had come; it decides whether the req may have run."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    ESTABLISHED = "up"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, as a value: its status, how far it had come, and why."""

    status: AttemptStatus
    stage: AttemptStage
    reason: str = ""
    load_report: tuple[float | None, ...] = ()


class RequestHandler(Protocol):
    """The client's side of a req: where its attempts begin and its answer goes."""

    def start_attempt(self, number: int, server: str, cut_at_us: int) -> None: ...

    def cancel_attempt(self, number: int) -> None: ...

    def reject(self, retry_after_us: int) -> None: ...

    def fail(self) -> None: ...

    def migrate(self) -> None: ...


@dataclass(slots=True, eq=False)
class RequestState:
    """A client's request and where it stands; only the owner changes it after its arrival."""

    request: Request
    deadline_us: int
    handler: RequestHandler
    attempts: int = 0
    active_attempt: int | None = None  # number of the attempt that is out
    server: str = ""
    sent_us: int = 0
    first_run_us: int | None = None  # when the first attempt that may have run was sent
    retry_before_us: int = 0  # the next attempt sends no line later than that; 0: at any time
    is_established: bool = False
    is_answered: bool = False  # final answer given, or nobody waits for it
    is_orphaned: bool = False  # the decisions lost it in a fault
    timeout_handle: asyncio.TimerHandle | None = None  # fires when the client's time is up

    def mark_answered(self) -> None:
        """The final answer is given, or nobody waits for it any more."""
        self.is_answered = True
        if self.timeout_handle is not None:
            self.timeout_handle.cancel()  # left to fire, it would keep the req and wake the owner for nothing
            self.timeout_handle = None


@dataclass(frozen=True, slots=True)
class RequestReceived:
    state: RequestState


@dataclass(frozen=True, slots=True)
class SessionRestored:
    """A connection that stood before the start is up again at its server."""

    state: RequestState
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    state: RequestState
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    state: RequestState
    attempt: int
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    state: RequestState


@dataclass(frozen=True, slots=True)
class SessionMetricObserved:
    """News of a standing connection: its load, or how long a message takes."""

    state: RequestState
    kind: SessionMetricKind
    value: float


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    update: EndpointUpdate


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    server: str
    status: AttemptStatus
    elapsed_us: int
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int
    at_us: int


@dataclass(frozen=True, slots=True)
class RequestTimedOut:
    """The client's time is up: an answer is owed now, whatever the decisions say."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """The proxy is asked to stop: once no newcomers come any more, all are moved one by one."""

    accept_window_us: int  # they come for so long
    migration_window_us: int  # and those who stand are moved over so long after that
    admission_window_us: int = 0  # who comes or waits is served for so long, and moved then; 0: refused


@dataclass(frozen=True, slots=True)
class DrainAdmissionEnded:
    """The time in a drain is over in which those who wait were still served: they are answered now."""


@dataclass(frozen=True, slots=True)
class MigrateSession:
    """A client's turn in a drain has come: it is moved."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class CancelDrain:
    """The drain is called back: nobody else is moved, newcomers are taken."""


@dataclass(frozen=True, slots=True)
class EvacuateServer:
    """A server is taken out by hand, or (out=False) used again: who stands there is moved, one by one."""

    server: str
    is_suspended: bool
    migration_window_us: int = 0  # within so long


@dataclass(frozen=True, slots=True)
class RebalanceDue:
    """The time for a step towards balance."""


Message = (
    RequestReceived
    | SessionRestored
    | AttemptEstablished
    | AttemptEnded
    | ClientDisconnected
    | SessionMetricObserved
    | EndpointsUpdated
    | HealthCheckCompleted
    | TimerFired
    | RequestTimedOut
    | BeginDrain
    | DrainAdmissionEnded
    | MigrateSession
    | CancelDrain
    | EvacuateServer
    | RebalanceDue
)


class MessageQueue(Protocol):
    """Where messages go: the owner, or what passes them on to it."""

    def post(self, message: Message) -> None: ...
