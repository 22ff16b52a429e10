"""Ending a session that is to migrate: between two lines, so that the client can be sent MOVE. No sockets."""

from __future__ import annotations

import asyncio

from stoatgw.clients.session_closer import SessionCloser
from stoatgw.clients.session_state import EndReason, SessionEnd
from stoatgw.controller.messages import RequestState
from stoatgw.line_protocol.grammar import MOVE
from stoatgw.line_protocol.splitter import LineAligner
from stoatgw.telemetry.log import EventLog

# How long MOVE waits for the rest of a line that the server has begun; after that it is sent without that line.
LINE_END_TIMEOUT_S = 0.5
# How long MOVE waits for a client that does not read the data sent before: such a client cannot receive MOVE either.
CLIENT_TIMEOUT_S = 1.5


class SessionMigration:
    """Ends a session with MOVE once the client has been sent a complete line and the server has begun no other."""

    __slots__ = ("_closer", "_log", "_request_state", "_server_lines")

    def __init__(
        self, log: EventLog, closer: SessionCloser, request_state: RequestState, server_lines: LineAligner
    ) -> None:
        """Prepare a migration that may never be requested; `server_lines` holds the server's partial line."""
        self._log = log
        self._closer = closer
        self._request_state = request_state
        self._server_lines = server_lines

    def begin(self) -> None:
        """End the session now or as soon as possible; do nothing if a migration was requested before."""
        state = self._closer.state
        if state.is_migrating or state.has_ended:
            return
        state.is_migrating = True
        is_line_open = self._server_lines.has_partial_line
        self._log.event(
            "session_migrating",
            id=self._request_state.request.request_id,
            why=self._reason,
            backend=self._request_state.server,
            waits_for_client=not state.is_line_complete,
            waits_for_line_end=is_line_open,
        )
        loop = asyncio.get_running_loop()
        if is_line_open:
            loop.call_later(LINE_END_TIMEOUT_S, self.finish)
        else:
            self.finish()
        if not state.has_ended:
            loop.call_later(CLIENT_TIMEOUT_S, self._finish_without_move)

    def on_line_sent(self) -> None:
        """End the session if it is to migrate; called when the client has been sent a complete line."""
        if self._closer.state.is_migrating:
            self.finish()

    def finish(self) -> None:
        """End the session with MOVE, unless the client has not been sent all that precedes it."""
        if self._closer.state.is_line_complete:
            self._closer.finish(SessionEnd(EndReason.MIGRATED, MOVE + b"\r\n", why=self._reason))

    def _finish_without_move(self) -> None:
        self._closer.finish(SessionEnd(EndReason.MIGRATED, why=f"{self._reason}; the client does not read"))

    @property
    def _reason(self) -> str:
        reason = self._request_state.migration_reason
        return reason.value if reason is not None else ""
