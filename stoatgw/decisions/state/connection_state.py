"""The state that one balancer keeps of a connection request, from its arrival until the connection ends."""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatgw.decisions.events import Endpoint, Request
from stoatgw.decisions.state.server_state import ServerState, SlowStartSend


@dataclass(slots=True)  # not frozen: one is created for each attempt, and frozen it would cost twice as much
class ExecutedAttempt:
    """An attempt that may have run: the server, and when it was sent."""

    endpoint: Endpoint
    sent_us: int


@dataclass(slots=True, eq=False)
class ConnectionState:
    """A connection request and, once established, the connection."""

    request: Request
    deadline_us: int
    load_units: float  # its load in mean connections
    server: ServerState | None = None  # server of the attempt in flight, or of the established connection
    sent_us: int = 0
    slow_start_send: SlowStartSend | None = None  # the attempt in flight, if its server is in slow start
    tried_servers: list[str] = field(default_factory=list)
    health_check_rounds: int = 0  # number of rounds made for this request
    is_established: bool = False
    is_migrating: bool = False
    is_abandoned: bool = False  # the client has disconnected
    erring_server: ServerState | None = None  # server that ended the last attempt with an error
    first_run: ExecutedAttempt | None = None  # the first attempt that may have run
