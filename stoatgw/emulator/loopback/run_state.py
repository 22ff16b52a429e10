"""State shared by the simulated servers and clients of a loopback run: requests, connections, and sessions ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from stoatgw.emulator.loopback.addresses import AddressPlan
from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.events import EventKind
from stoatgw.emulator.world.world_state import WorldState


class RequestedSession(Protocol):
    """A client's session request, as the servers see it.

    Attributes:
        client: The client that sent it.
        request_class: The index of its class in the scenario.
        group: The group that the session belongs to.
    """

    client: Client
    request_class: int
    group: int

    def matches_request(self, line: bytes) -> bool:
        """Return whether a line equals this request, apart from the deadline: a proxy sends the time that remains."""

    def next_attempt(self) -> int:
        """Count a new attempt and return its number, starting at 0."""


class OpenConnection(Protocol):
    """A proxy's connection to a server, from the session request until it is closed.

    Attributes:
        request_id: The request that it carries.
        is_in_flight: Whether the attempt was sent and is neither established nor ended.
        end_reason: Why the server ended the connection, or empty.
    """

    request_id: str
    is_in_flight: bool
    end_reason: str

    def has_peer_ended(self) -> bool:
        """Return whether the proxy has closed its side, or the connection is closed."""

    def end_attempt(self, outcome: str) -> None:
        """Record the outcome of the attempt, if it is still in flight."""


@dataclass(eq=False)
class RunState:
    """The shared state of one run.

    Attributes:
        world: The world model.
        addresses: The run's addresses.
        counts: The run's totals, by their stored names.
        sessions: All sessions requested so far, by request id.
        server_numbers: The number of each server, by name; it selects the server's addresses.
        open_connections: The connections on which a server has received a session request, until they are closed.
        ended_by_server: The request ids of sessions that their servers have ended.
    """

    world: WorldState
    addresses: AddressPlan
    counts: dict[str, int]
    sessions: dict[str, RequestedSession] = field(default_factory=dict)
    server_numbers: dict[str, int] = field(default_factory=dict)
    open_connections: set[OpenConnection] = field(default_factory=set)
    ended_by_server: set[str] = field(default_factory=set)
    _attempts: dict[str, list[OpenConnection]] = field(default_factory=dict)  # by request id

    def report_violation(self, text: str) -> None:
        """Record a protocol violation by a proxy as a program fault."""
        self.world.log(EventKind.PROGRAM_FAULT, detail=text)

    def track_attempt(self, connection: OpenConnection) -> None:
        """Record that a server has received an attempt."""
        self._attempts.setdefault(connection.request_id, []).append(connection)

    def expire_closed_attempts(self, request_id: str) -> None:
        """End the request's attempts whose connection is closed but whose task has not processed that yet."""
        for connection in self._attempts.pop(request_id, []):
            if connection.is_in_flight and connection.has_peer_ended():
                connection.end_attempt("closed by the proxy")

    def has_server_ended(self, request_id: str) -> bool:
        """Return whether a session's server has ended it or has died."""
        return request_id in self.ended_by_server or any(
            connection.request_id == request_id and connection.end_reason for connection in self.open_connections
        )
