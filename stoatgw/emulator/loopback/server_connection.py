"""A proxy's connection to a simulated server that carries or requests a session."""

from __future__ import annotations

import asyncio
from collections import deque

from stoatgw.emulator.loopback.run_state import RunState
from stoatgw.emulator.loopback.wire import LineSocket
from stoatgw.emulator.world.events import EventKind


class ServerConnection:
    """The server's side of a session; implements `OpenConnection`.

    Attributes:
        proxy: The index of the proxy that has connected.
        lines: The connection's socket.
        request_id: The request that it carries.
        attempt: The number of the attempt within the request, from 0.
        is_in_flight: Whether the attempt was sent and is neither established nor ended.
        is_established: Whether the session is established.
        is_unresponsive: Whether messages are ignored and answers withheld, as if the network dropped them.
        end_reason: Why the server ended the connection, or empty.
        established_us: When the session was established.
        pending_answers: Answers to messages that are not sent yet, oldest first.
        last_answer_us: When the last of them is due.
    """

    def __init__(
        self, run: RunState, server_name: str, proxy: int, lines: LineSocket, task: asyncio.Task[None]
    ) -> None:
        """Create the server's side; cancelling `task`, which serves the connection, resets it."""
        self.proxy = proxy
        self.lines = lines
        self.request_id = ""
        self.attempt = 0
        self.is_in_flight = False
        self.is_established = False
        self.is_unresponsive = False
        self.end_reason = ""
        self.established_us = 0
        self.pending_answers: deque[bytes] = deque()
        self.last_answer_us = 0
        self._run = run
        self._server_name = server_name
        self._task = task

    def has_peer_ended(self) -> bool:
        """Return whether the proxy has closed its side, or the connection is closed."""
        return self.lines.is_closed or self.lines.has_peer_ended()

    def end_attempt(self, outcome: str) -> None:
        """Record the outcome of the attempt, if it is still in flight."""
        if self.is_in_flight:
            self.is_in_flight = False
            world = self._run.world
            proxy_name = world.proxy_names[self.proxy]
            world.log(EventKind.ATTEMPT_ENDED, proxy_name, self.request_id, self._server_name, self.attempt, outcome)

    def end(self, reason: str, line: bytes = b"") -> None:
        """Close the server's side, after a last line if there is one."""
        self._mark_ended(reason)
        if line:
            self.lines.write(line)
        self.lines.end()

    def reset(self, reason: str) -> None:
        """Reset the connection from the server's side."""
        self._mark_ended(reason)
        self._task.cancel()

    def _mark_ended(self, reason: str) -> None:
        self.end_reason = self.end_reason or reason
        self.end_attempt(reason)

    def answer_message(self) -> None:
        """Send the oldest pending answer.

        A timer is not tied to one answer: the event loop rounds timers to whole milliseconds, so the timers of two
        answers may fire in reverse order.
        """
        line = self.pending_answers.popleft()
        if self.is_established and not self.is_unresponsive and not self.end_reason:
            self.lines.write(line)
