"""One proxy's connection to a simulated server that carries, or asks for, a session."""

from __future__ import annotations

import asyncio
from collections import deque

from stoatgw.emulator.loopback.run_state import RunState
from stoatgw.emulator.loopback.wire import LineSocket
from stoatgw.emulator.world.events import EventKind


class ServerConnection:
    """The server's side of a session; implements `OpenConnection`."""

    def __init__(
        self, run: RunState, server_name: str, proxy: int, lines: LineSocket, task: asyncio.Task[None]
    ) -> None:
        """`task` serves the connection: it is cancelled to reset it."""
        self.proxy = proxy
        self.lines = lines
        self.request_id = ""
        self.attempt = 0
        self.is_in_flight = False
        self.is_established = False
        self.is_muted = False
        self.end_reason = ""
        self.established_us = 0
        self.pending_answers: deque[bytes] = deque()
        self.last_answer_us = 0  # when the last message so far is answered
        self._run = run
        self._server_name = server_name
        self._task = task

    def has_peer_ended(self) -> bool:
        """Whether the proxy has ended its side, or the connection is closed."""
        return self.lines.is_closed or self.lines.has_peer_ended()

    def end_attempt(self, how: str) -> None:
        """The attempt is no longer in flight."""
        if self.is_in_flight:
            self.is_in_flight = False
            world = self._run.world
            proxy_name = world.proxy_names[self.proxy]
            world.log(EventKind.ATTEMPT_ENDED, proxy_name, self.request_id, self._server_name, self.attempt, how)

    def end(self, reason: str, line: bytes = b"") -> None:
        """The server ends its side, after a last line."""
        self._mark_ended(reason)
        if line:
            self.lines.write(line)
        self.lines.end()

    def reset(self, reason: str) -> None:
        """The server resets the connection."""
        self._mark_ended(reason)
        self._task.cancel()

    def _mark_ended(self, reason: str) -> None:
        self.end_reason = self.end_reason or reason
        self.end_attempt(reason)

    def answer_message(self) -> None:
        """Send the oldest pending answer.

        Whichever timer fired: the loop's timers count whole milliseconds, and two may change places.
        """
        line = self.pending_answers.popleft()
        if self.is_established and not self.is_muted and not self.end_reason:
            self.lines.write(line)
