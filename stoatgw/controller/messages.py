"""The messages of the controller's queue, and the values that they carry. No line protocol, no sockets.

Events of the decision policy with the same names (`SessionRestored`, `AttemptEstablished`, `ClientDisconnected`) are
written `interface.X` in this package: a message carries the state of its request, an event only what policies read.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stoatgw.controller.reasons import AnswerReason, MigrationReason
from stoatgw.decisions.interface import AttemptStatus, EndpointUpdate, Request, SessionMetricKind


class AttemptStage(Enum):
    """How far an attempt got; it decides whether the request may have run."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    ESTABLISHED = "up"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, as a value: its status, how far it got, and why."""

    status: AttemptStatus
    stage: AttemptStage
    reason: str = ""
    load_report: tuple[float | None, ...] = ()


class RequestHandler(Protocol):
    """The client's side of a request, called from the controller's task.

    No call may block; an exception counts as a fault of the policy.
    """

    def start_attempt(self, number: int, server: str, deadline_us: int) -> None:
        """Starts an attempt; `AttemptEnded` is posted for it, once, `AttemptEstablished` at most once before."""
        ...

    def cancel_attempt(self, number: int) -> None:
        """Cancels an attempt in flight; its end is posted all the same."""
        ...

    def reject(self, retry_after_us: int) -> None:
        """Answers that the request was rejected; `retry_after_us` 0 gives no advice."""
        ...

    def fail(self) -> None:
        """Answers that the request failed."""
        ...

    def migrate(self) -> None:
        """Closes the established session cleanly, so that its client reconnects elsewhere."""
        ...


@dataclass(slots=True, eq=False)
class RequestState:
    """A client's request and what became of it so far; only the controller's task changes it.

    Attributes:
        request: The request as the policy reads it.
        deadline_us: When its client stops waiting for an answer.
        handler: The client's side.
        attempts: How many attempts were started; the next one has this number.
        active_attempt: The number of the attempt in flight or established, if there is one.
        server: The server of the last attempt.
        sent_us: When the last attempt was started.
        first_run_us: When the first attempt that may have run was started.
        retry_before_us: The next attempt sends no line later than that; 0: at any time.
        is_established: An attempt was established.
        is_answered: The final answer is given, or nobody waits for it.
        is_orphaned: A policy that failed took all knowledge of it away.
        timeout_handle: Posts `RequestTimedOut` at the deadline.
        answer_reason: Why it was rejected or failed; set before the handler is asked to answer, for the log.
        migration_reason: Why its session migrates; set before the handler is asked to migrate it, for the log.
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
        """Counts an attempt as started now."""
        self.active_attempt = self.attempts
        self.attempts += 1
        self.server = server
        self.sent_us = now_us

    def mark_answered(self) -> None:
        """Records that the final answer is given, or that nobody waits for it any more."""
        self.is_answered = True
        if self.timeout_handle is not None:
            # Left to fire, it would keep the request in memory and wake the controller for nothing.
            self.timeout_handle.cancel()
            self.timeout_handle = None


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client asks for a session. Posted by the task of its connection, once."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class SessionRestored:
    """A session of an earlier process is connected to its server again. Posted by the task of the attempt."""

    state: RequestState
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """The server accepted the session. Posted by the task of the attempt."""

    state: RequestState
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, established or not, is over. Posted by its task; by the event loop if the task never ran."""

    state: RequestState
    attempt: int
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Nobody waits for the answer, or uses the session, any more. Posted by the task of the client's connection."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class SessionMetricObserved:
    """The load of an established session, or the latency of its messages.

    Posted by the task of the attempt, which reads load from the server's lines, and by the listener's latency monitor.
    """

    state: RequestState
    kind: SessionMetricKind
    value: float


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list, or what changed in it. Posted by the discovery client: its own task, or whoever calls it."""

    update: EndpointUpdate


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A health check ended. Posted by the task of the check, or by the task that receives the results of peers."""

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
    """The client's deadline has passed: an answer is owed now, whatever the policy does. Posted by the event loop."""

    state: RequestState


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """The proxy is to lose all its clients: once no new ones connect, their sessions migrate one by one.

    Posted by the main task on SIGTERM, by the management API's task for an operator, and by the maintenance task.

    Attributes:
        accept_window_us: New clients are routed here for so long.
        migration_window_us: The sessions migrate over so long after that.
        admission_window_us: Requests are served for so long, and migrated then; 0: they are rejected at once.
    """

    accept_window_us: int
    migration_window_us: int
    admission_window_us: int = 0


@dataclass(frozen=True, slots=True)
class DrainAdmissionEnded:
    """The admission window of a drain is over: who waits is answered now. Posted by the event loop."""


@dataclass(frozen=True, slots=True)
class MigrateSession:
    """A session is due to migrate, in a drain or an evacuation. Posted by the event loop."""

    state: RequestState
    reason: MigrationReason


@dataclass(frozen=True, slots=True)
class CancelDrain:
    """The drain is cancelled: no further session migrates, requests are admitted.

    Posted by the management API's task and by the maintenance task.
    """


@dataclass(frozen=True, slots=True)
class EvacuateServer:
    """A server was suspended, and its sessions migrate one by one; or it was resumed, and no more of them do.

    Posted by whoever applies suspensions: the management API's task, the task that polls their file, and the
    maintenance task.

    Attributes:
        server: The server's name.
        is_suspended: Whether it was suspended, not resumed.
        migration_window_us: The sessions migrate within so long.
    """

    server: str
    is_suspended: bool
    migration_window_us: int = 0


@dataclass(frozen=True, slots=True)
class RebalanceDue:
    """The next step of rebalancing is due. Posted by the event loop."""


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
    """Where messages go: the controller, or what passes them on to it."""

    def post(self, message: Message) -> None:
        """Queues a message; returns at once."""
        ...
