"""What the simulated servers and clients of a loopback run share: who asked for what, and who ended it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from stoatgw.emulator.loopback.addresses import AddressPlan
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.world_state import WorldState


class RequestedSession(Protocol):
    """A client's request, as the servers see it."""

    client: Client
    request_class: int
    group: int

    def matches_request(self, line: bytes) -> bool:
        """Whether a line is this client's request, but for the deadline."""

    def next_attempt(self) -> int:
        """The number of a new attempt, from 0."""


class OpenConnection(Protocol):
    """A proxy's connection to a server, from its session request to its end."""

    request_id: str
    is_in_flight: bool  # its attempt was sent, and is neither established nor over
    end_reason: str  # why the server ended it, or empty

    def has_peer_ended(self) -> bool:
        """Whether the proxy has ended its side, or the connection is closed."""

    def end_attempt(self, how: str) -> None:
        """The attempt is no longer in flight."""


@dataclass(eq=False)
class RunState:
    """The shared state of one run."""

    world: WorldState
    addresses: AddressPlan
    counts: dict[str, int]
    sessions: dict[str, RequestedSession] = field(default_factory=dict)  # all that ever were, by request id
    server_numbers: dict[str, int] = field(default_factory=dict)
    open_connections: set[OpenConnection] = field(default_factory=set)
    ended_by_server: set[str] = field(default_factory=set)  # request ids
    _attempts: dict[str, list[OpenConnection]] = field(default_factory=dict)  # by request id

    def report_violation(self, text: str) -> None:
        """Record something on the wire that must not have been: a fault of the program."""
        self.world.log(EventKind.PROGRAM_FAULT, detail=text)

    def track_attempt(self, connection: OpenConnection) -> None:
        """An attempt has arrived at a server."""
        self._attempts.setdefault(connection.request_id, []).append(connection)

    def expire_closed_attempts(self, request_id: str) -> None:
        """End the attempts whose connection has ended, though their tasks have not noticed yet."""
        for connection in self._attempts.pop(request_id, []):
            if connection.is_in_flight and connection.has_peer_ended():
                connection.end_attempt("closed by the proxy")

    def has_server_ended(self, request_id: str) -> bool:
        """Whether a session's server ended it or died."""
        return request_id in self.ended_by_server or any(
            connection.request_id == request_id and connection.end_reason for connection in self.open_connections
        )
