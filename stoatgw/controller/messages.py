"""The messages of the controller's queue and the values that they carry, without line protocol and sockets.

Events of the decision policy with the same names (`SessionRestored`, `AttemptEstablished`, `ClientDisconnected`) are
written `interface.X` in this package: a message refers to the state of its request, an event contains only the fields
that policies read.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stoatgw.controller.reasons import AnswerReason, MigrationReason
from stoatgw.decisions.interface import AttemptStatus, EndpointUpdate, Request, SessionMetricKind


class AttemptStage(Enum):
    """The stage that an attempt reached; it determines whether the request may have run on the server."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    ESTABLISHED = "up"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt: its status, the stage that it reached, the reason, and the server's load report if any."""

    status: AttemptStatus
    stage: AttemptStage
    reason: str = ""
    load_report: tuple[float | None, ...] = ()


class RequestHandler(Protocol):
    """The client's side of a request, called from the controller's task.

    No call may block; an exception is handled like an exception of the policy.
    """

    def start_attempt(self, number: int, server: str, deadline_us: int) -> None:
        """Start an attempt; `AttemptEnded` is posted for it exactly once, `AttemptEstablished` at most once before."""
        ...

    def cancel_attempt(self, number: int) -> None:
        """Cancel an attempt in flight; `AttemptEnded` is still posted for it."""
        ...

    def reject(self, retry_after_us: int) -> None:
        """Answer that the request was rejected; `retry_after_us` 0: without a retry delay."""
        ...

    def fail(self) -> None:
        """Answer that the request failed."""
        ...

    def migrate(self) -> None:
        """Close the established session cleanly, so that its client reconnects."""
        ...


@dataclass(slots=True, eq=False)
class RequestState:
    """A client's request and its progress.

    Only the controller's task changes it, apart from the two reasons, which the client's side may set as well.

    Attributes:
        request: The request as passed to the policy.
        deadline_us: When the client stops waiting for an answer.
        handler: The client's side of the request.
        attempts: The number of attempts started, which is also the number of the next one.
        active_attempt: The number of the attempt in flight or established; None if there is none.
        server: The server of the last attempt.
        sent_us: When the last attempt was started.
        first_run_us: When the first attempt that may have run on a server was started; None if there is none.
        retry_before_us: The latest time at which a retry may be sent; 0: no limit.
        is_established: Whether an attempt was established.
        is_answered: Whether the final answer was sent, or the client no longer waits for it.
        is_orphaned: Whether the policy that knew this request failed and was replaced.
        timeout_handle: The timer that posts `RequestTimedOut` at the deadline.
        answer_reason: Why the request was rejected or failed, for the log; set before the handler is called.
        migration_reason: Why the session migrates, for the log; set before the handler is called.
    """

    request: Request
    deadline_us: int
    handler: RequestHandler
    attempts: int = 0
    active_attempt: int | None = None
    server: str = ""
    sent_us: int = 0
    first_run_us: int | None = None
    retry_before_us: int = 0
    is_established: bool = False
    is_answered: bool = False
    is_orphaned: bool = False
    timeout_handle: asyncio.TimerHandle | None = None
    answer_reason: AnswerReason | None = None
    migration_reason: MigrationReason | None = None

    def begin_attempt(self, server: str, now_us: int) -> None:
        """Record that an attempt starts now."""
        self.active_attempt = self.attempts
        self.attempts += 1
        self.server = server
        self.sent_us = now_us

    def mark_answered(self) -> None:
        """Record that the final answer was sent, or that the client no longer waits for it."""
        self.is_answered = True
        if self.timeout_handle is not None:
            # Until it fired, the timer would keep the request in memory, and then wake the controller needlessly.
            self.timeout_handle.cancel()
            self.timeout_handle = None


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client requests a session. Posted once, by the task of its connection."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class SessionRestored:
    """A session of an earlier process is reconnected to its server. Posted by the task of the attempt."""

    state: RequestState
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """The server accepted the session. Posted by the task of the attempt."""

    state: RequestState
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, established or not, ended. Posted by its task, or by the event loop if the task never ran."""

    state: RequestState
    attempt: int
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for its answer or uses its session. Posted by the task of its connection."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class SessionMetricObserved:
    """A metric of an established session: its load, or the latency of its messages.

    Posted by the task of the attempt, which reads the load from the server's lines, and by the listener's latency
    monitor.
    """

    state: RequestState
    kind: SessionMetricKind
    value: float


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list or a change of it. Posted by the discovery client, from its own task or from its caller's."""

    update: EndpointUpdate


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A health check ended. Posted by its task, or by the task that receives the results of other proxies."""

    server: str
    status: AttemptStatus
    elapsed_us: int
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of the policy is due. Posted by the event loop."""

    token: int
    at_us: int


@dataclass(frozen=True, slots=True)
class RequestTimedOut:
    """The client's deadline has passed: it is answered now, whatever the policy does. Posted by the event loop."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """The proxy drains: once new clients are no longer routed to it, its sessions migrate one by one.

    Posted by the main task on SIGTERM, by the management API's task for an operator, and by the maintenance task.

    Attributes:
        accept_window_us: How long new clients are still routed to this proxy.
        migration_window_us: The time after that over which the migrations are spread.
        admission_window_us: How long new requests are still served, whose sessions then migrate too; 0: new requests
            are rejected immediately.
    """

    accept_window_us: int
    migration_window_us: int
    admission_window_us: int = 0


@dataclass(frozen=True, slots=True)
class DrainAdmissionEnded:
    """The admission window of a drain is over: waiting requests are answered. Posted by the event loop."""


@dataclass(frozen=True, slots=True)
class MigrateSession:
    """A session is due to migrate, in a drain or an evacuation. Posted by the event loop."""

    state: RequestState
    reason: MigrationReason


@dataclass(frozen=True, slots=True)
class CancelDrain:
    """The drain is cancelled: no further sessions migrate, and requests are admitted.

    Posted by the management API's task and by the maintenance task.
    """


@dataclass(frozen=True, slots=True)
class EvacuateServer:
    """A server was suspended, and its sessions migrate one by one; or it was resumed, and no further ones migrate.

    Posted by the tasks that apply suspensions: the management API's task, the task that polls the suspension file,
    and the maintenance task.

    Attributes:
        server: The server's name.
        is_suspended: Whether it was suspended; False: it was resumed.
        migration_window_us: The time over which the migrations are spread.
    """

    server: str
    is_suspended: bool
    migration_window_us: int = 0


@dataclass(frozen=True, slots=True)
class RebalanceDue:
    """The next rebalancing step is due. Posted by the event loop."""


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
    """The controller, or an object that forwards messages to it."""

    def post(self, message: Message) -> None:
        """Queue a message, without blocking."""
        ...
