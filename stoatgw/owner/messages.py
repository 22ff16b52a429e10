"""What passes between the owner of the decisions and the sockets. No line protocol here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stoatgw.decisions.interface import Belief, ListUpdate, NoteKind, Request, Status


class Stage(Enum):
    """How far an attempt had come; it decides whether the req may have run."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    UP = "up"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, as a value: its status, how far it had come, and why."""

    status: Status
    stage: Stage
    why: str = ""
    report: tuple[float | None, ...] = ()


class Door(Protocol):
    """The client's side of a req: where its attempts begin and its answer goes."""

    def begin(self, number: int, server: str, cut_at_us: int) -> None: ...

    def cancel(self, number: int) -> None: ...

    def refuse(self, retry_after_us: int) -> None: ...

    def fail(self) -> None: ...

    def move(self) -> None: ...


class Mover(Protocol):
    """Who plans moves of standing connections, where the operators want them moved."""

    step_us: int

    def plan(self, beliefs: list[Belief], now_us: int) -> list[str]:
        """The reqs to move in this step, in order."""
        ...


class Fleet(Protocol):
    """The backends' side: probes and the list."""

    def probe(self, server: str) -> None: ...

    def close_idle(self, server: str) -> None: ...

    def fetch_list(self) -> None: ...


@dataclass(slots=True, eq=False)
class Req:
    """A client's request and where it stands; only the owner changes it after its arrival."""

    asked: Request
    deadline_us: int
    door: Door
    attempts: int = 0
    out: int | None = None  # number of the attempt that is out
    server: str = ""
    sent_us: int = 0
    ran_us: int | None = None  # when the first attempt that may have run was sent
    repeat_by_us: int = 0  # the next attempt sends no line later than that; 0: at any time
    up: bool = False
    answered: bool = False  # final answer given, or nobody waits for it
    orphan: bool = False  # the decisions lost it in a fault
    overdue: asyncio.TimerHandle | None = None  # fires when the client's time is up

    def settle(self) -> None:
        """The final answer is given, or nobody waits for it any more."""
        self.answered = True
        if self.overdue is not None:
            self.overdue.cancel()  # left to fire, it would keep the req and wake the owner for nothing
            self.overdue = None


@dataclass(frozen=True, slots=True)
class Arrived:
    req: Req


@dataclass(frozen=True, slots=True)
class Stood:
    """A connection that stood before the start is up again at its server."""

    req: Req
    server: str


@dataclass(frozen=True, slots=True)
class AttemptUp:
    req: Req
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    req: Req
    attempt: int
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class ClientLeft:
    req: Req


@dataclass(frozen=True, slots=True)
class Heard:
    """News of a standing connection: its load, or how long a message takes."""

    req: Req
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Listed:
    update: ListUpdate


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    status: Status
    spent_us: int
    report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class Due:
    token: int
    at_us: int


@dataclass(frozen=True, slots=True)
class Overdue:
    """The client's time is up: an answer is owed now, whatever the decisions say."""

    req: Req


@dataclass(frozen=True, slots=True)
class Drain:
    """The proxy is asked to stop: once no newcomers come any more, all are moved one by one."""

    newcomers_us: int  # they come for so long
    over_us: int  # and those who stand are moved over so long after that
    serve_us: int = 0  # who comes or waits is served for so long, and moved then; 0: refused


@dataclass(frozen=True, slots=True)
class Unserved:
    """The time in a drain is over in which those who wait were still served: they are answered now."""


@dataclass(frozen=True, slots=True)
class SendAway:
    """A client's turn in a drain has come: it is moved."""

    req: Req


@dataclass(frozen=True, slots=True)
class Activate:
    """The drain is called back: nobody else is moved, newcomers are taken."""


@dataclass(frozen=True, slots=True)
class Vacate:
    """A server is taken out by hand, or (out=False) used again: who stands there is moved, one by one."""

    server: str
    out: bool
    over_us: int = 0  # within so long


@dataclass(frozen=True, slots=True)
class Rebalance:
    """The time for a step towards balance."""


Message = (
    Arrived | Stood | AttemptUp | AttemptEnded | ClientLeft | Heard | Listed | Probed | Due | Overdue | Drain | Unserved
    | SendAway | Activate | Vacate | Rebalance
)


class Inbox(Protocol):
    """Where messages go: the owner, or what passes them on to it."""

    def put(self, message: Message) -> None: ...
