"""Relaying an established session: the server's lines to the client, and the client's lines to the server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Iterator

from stoatgw.backends.attempt import READ_SIZE_BYTES, Attempt
from stoatgw.backends.latency import MessageLatencyTracker
from stoatgw.clients.context import EstablishedSession, Peer, PeerSide, ProxyContext
from stoatgw.clients.migration import SessionMigration
from stoatgw.clients.session_closer import LINGER_S, SessionCloser
from stoatgw.clients.session_state import EndReason, SessionEnd
from stoatgw.controller.messages import AttemptEnd, RequestState, SessionMetricObserved
from stoatgw.controller.reasons import MigrationReason
from stoatgw.line_protocol.grammar import MOVE, Keyword, encode_error, parse_keyword, parse_number, parse_reply
from stoatgw.line_protocol.splitter import LineAligner, split_lines
from stoatgw.sockets import socket_state, tcp
from stoatgw.telemetry.metrics import RequestOutcome

# After a failed send: how long the session's other task may take to read the cause and forward the remaining data.
SEND_ERROR_GRACE_S = 0.5
# How many consecutive checks must find a client reset and its server not reading before the client's lines are dropped.
MIN_BLOCKED_CHECKS = 2
UNSOLICITED_KEYWORDS = (Keyword.LOAD, Keyword.MOVE, Keyword.BYE)  # not replies to a line of the client


class Relay:
    """Both directions of one session; the `RelayListener` of its attempt.

    The client is read from the start, in a separate task, to detect when it disconnects. Its data is sent to the server
    once UP has been forwarded. Backpressure from one side slows down the other.

    Both sides are sent complete lines only, and the client nothing after its last line. So the session may end at any
    time and for any reason without leaving a peer with a partial line: a partial line is held until the rest of it is
    received, or until its sender ends the session.
    """

    __slots__ = (
        "_attempt",
        "_attempt_ready",
        "_blocked_checks",
        "_class_name",
        "_client_lines",
        "_closer",
        "_context",
        "_is_sending_to_server",
        "_latency",
        "_migration",
        "_request_state",
        "_send_completed",
        "_server_lines",
        "_sock",
        "_state",
        "last_keyword",
    )

    def __init__(
        self,
        sock: socket.socket,
        context: ProxyContext,
        closer: SessionCloser,
        request_state: RequestState,
        class_name: str,
    ) -> None:
        self._sock = sock
        self._context = context
        self._state = closer.state
        self._closer = closer
        self._request_state = request_state
        self._class_name = class_name
        self._attempt: Attempt | None = None  # once UP has been forwarded
        self._attempt_ready: asyncio.Future[None] | None = None  # while the client's task waits for `_attempt`
        self._send_completed: asyncio.Future[None] | None = None  # while the last line waits for earlier lines
        self._is_sending_to_server = False  # the client is not read while this is set
        self._blocked_checks = 0  # consecutive checks that found the server not reading what is being sent
        self._client_lines = LineAligner()
        self._server_lines = LineAligner()
        self._migration = SessionMigration(context.log, closer, request_state, self._server_lines)
        self._latency = MessageLatencyTracker()
        self.last_keyword = Keyword.OTHER  # the keyword of the server's last complete line

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Count the request's outcome, once."""
        if self._state.claim_outcome():
            self._context.metrics.record_outcome(self._class_name, outcome)

    # The server's side.

    async def run(self, attempt: Attempt, server: str) -> AttemptEnd:
        """Forward UP, then all lines in both directions until the server ends the session."""
        request_id = self._request_state.request.request_id
        self._context.counters.add("requests_established")
        self._context.established_sessions[request_id] = EstablishedSession(
            self._request_state, server, self._latency, self._state, self
        )
        self._state.establish()
        self._context.log.event("session_established", id=request_id, backend=server)
        self.record_outcome(RequestOutcome.SUCCESS)
        lines = self._server_lines.receive_data(attempt.established_data)
        self._observe_server_lines(split_lines(lines)[1:])
        await self._send_to_client(lines)
        self._attempt = attempt
        if self._attempt_ready is not None and not self._attempt_ready.done():
            self._attempt_ready.set_result(None)
        end = await attempt.relay(self)
        if self._state.is_migrating:  # it was waiting for the end of a line, which will not be received any more
            self._migration.finish()
        if not self._state.has_pending_last_line:  # MOVE may not follow a partial line
            await self._flush_to_client()
        return end

    async def _flush_to_client(self) -> None:
        """Send the client the partial line in the middle of which the server has ended; no line may follow it."""
        partial_line = self._server_lines.flush()
        if partial_line:
            self._server_lines.is_aligned = False
            self._state.is_aligned = False
            await self._send_to_client(partial_line)

    def half_close_server(self) -> None:
        """Shut down sending to the server, as the client has disconnected; what the server still sends is forwarded."""
        if self._attempt is not None:
            self._attempt.half_close()

    def detach(self) -> None:
        """Stop relaying to an attempt that is over; may also be called if none was established."""
        self._attempt = None
        self._context.established_sessions.pop(self._request_state.request.request_id, None)

    def forward(self, data: bytes) -> Awaitable[None]:
        """Send the server's lines to the client once they are complete."""
        lines = self._server_lines.receive_data(data)
        if lines:
            self._observe_server_lines(split_lines(lines))
        return self._send_to_client(lines)

    def _observe_server_lines(self, lines: list[bytes]) -> None:
        """Observe the lines of one read, which may be thousands: of several loads only the last is reported."""
        now_us = self._context.clock.now_us()
        self._context.counters.add("lines_from_servers", len(lines))
        load_line = b""
        for line in lines:
            keyword = self.last_keyword = parse_keyword(line)
            if keyword is Keyword.LOAD:
                load_line = line
            elif self._latency.pending and keyword not in UNSOLICITED_KEYWORDS:
                self._latency.record_reply(line, now_us)
        if load_line:
            self._report_load(parse_reply(load_line).fields)

    def _report_load(self, fields: str) -> None:
        value = parse_number(fields)
        if value is not None:
            kind = self._context.load_line_kind
            self._context.controller.post(SessionMetricObserved(self._request_state, kind, value))

    async def _send_to_client(self, data: bytes) -> None:
        """Send bytes to the client, unless its last line has been sent.

        This task is cancelled only some event loop iterations after the session's end, and MOVE is sent in between:
        what the server sends before MOVE is forwarded, and nothing after it.
        """
        state = self._state
        if not data or not state.may_send_to_client():
            return
        state.is_sending = True
        try:
            await tcp.send_all(self._sock, data)
        except OSError as error:
            await self._handle_client_send_error(error)
            return
        state.is_sending = False
        state.is_aligned = self._server_lines.is_aligned
        if self._send_completed is not None and not self._send_completed.done():
            self._send_completed.set_result(None)
        self._migration.on_line_sent()

    async def send_last_line(self, last_line: bytes) -> None:
        """Send the client the line that ends its session, after those that are being sent. Never raises OSError."""
        state = self._state
        try:
            async with asyncio.timeout(LINGER_S):
                while not state.is_line_complete:  # again if the relay sends more before this task runs
                    self._send_completed = asyncio.get_running_loop().create_future()
                    await self._send_completed
                state.is_closed_to_client = True
                await self._closer.send_last_line(last_line)
        except (OSError, TimeoutError):
            state.is_closed_to_client = True

    async def _handle_client_send_error(self, error: OSError) -> None:
        """Handle a failed send to the client: the client's task gets time to read its remaining lines and its EOF.

        The failure is not the server's, and ending the session immediately would lose the client's last lines.
        """
        self._state.is_closed_to_client = True
        if self._state.has_ended:
            return
        await asyncio.sleep(SEND_ERROR_GRACE_S)
        was_reset = not isinstance(error, BrokenPipeError)
        self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, was_reset=was_reset, why=str(error)))

    def end_if_blocked_client_reset(self) -> None:
        """End the session if the client has reset its connection while the server does not read.

        The client is not read in that state, and the loop cannot watch a socket with unread bytes for a reset alone.

        A send in progress does not prove that the server does not read: it may be waiting for a retry or for the
        event loop. So the server's connection itself is polled, by two checks in a row, as the client's last lines are
        lost here.
        """
        if not self._is_server_blocked() or not socket_state.is_broken(self._sock):
            self._blocked_checks = 0
            return
        self._blocked_checks += 1
        if self._blocked_checks >= MIN_BLOCKED_CHECKS:
            why = "reset by the client, while its server takes nothing"
            self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, was_reset=True, why=why))

    def _is_server_blocked(self) -> bool:
        """Return whether the server's connection accepts no more of the client's data now."""
        if not self._is_sending_to_server or self._state.has_ended or self._attempt is None:
            return False
        descriptor = self._attempt.descriptor
        return descriptor is not None and descriptor >= 0 and not socket_state.is_writable(descriptor)

    def peers(self) -> Iterator[Peer]:
        """Yield the open connections of the session."""
        yield Peer(PeerSide.CLIENT, self._sock.fileno(), is_blocked=self._is_sending_to_server)
        if self._attempt is not None and self._attempt.descriptor is not None:
            yield Peer(PeerSide.SERVER, self._attempt.descriptor, is_blocked=self._state.is_sending)

    # Migration.

    def migrate(self) -> None:
        """End the session with MOVE, between two lines."""
        self._migration.begin()

    def migrate_now(self) -> None:
        """End the session without waiting for the end of a partial line of the server, as the process ends."""
        if self._request_state.migration_reason is None:
            self._request_state.migration_reason = MigrationReason.DRAIN
        self._migration.begin()
        self._migration.finish()

    def end_after_crash(self, why: str) -> None:
        """End the session after an internal error, with MOVE if possible, as the client's connection still works."""
        last_line = MOVE + b"\r\n" if self._state.is_line_complete else b""
        self._closer.finish(SessionEnd(EndReason.MIGRATED, last_line, why=why))

    def abandon_server(self) -> None:
        """Migrate the session because its server no longer replies."""
        self._state.record_unresponsive_server()
        self._request_state.migration_reason = MigrationReason.SERVER_UNRESPONSIVE
        self.migrate()

    # The client's side.

    async def read_client(self) -> None:
        """Read the client until it disconnects, which ends the session, or until sending to the server fails.

        After a session end that lets the client's last lines through, it continues to read until it is cancelled.
        """
        try:
            while data := await tcp.receive(self._sock, READ_SIZE_BYTES):
                if not self._state.is_established:
                    self._reject_early_data()
                    return
                await self._send_to_server(self._client_lines.receive_data(data))
        except OSError as error:
            was_reset = not isinstance(error, BrokenPipeError)
            self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, was_reset=was_reset, why=str(error)))
            return
        if not self._state.has_ended:  # the client disconnected in the middle of a line, without a migration
            await self._send_to_server(self._client_lines.flush())
        self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, why="ended by the client"))

    def _reject_early_data(self) -> None:
        """Reject data sent before UP: a client has to wait for UP, and commands sent earlier must not be served."""
        self.record_outcome(RequestOutcome.ERROR)
        reason = "more came before UP"
        self._closer.finish(SessionEnd(EndReason.PROTOCOL_VIOLATED, encode_error(reason), why=reason))

    async def _send_to_server(self, data: bytes) -> None:
        """Forward the client's bytes; the client is not read until they are sent, however much it sends."""
        if not data:
            return
        attempt = self._attempt or await self._wait_for_attempt()
        lines = split_lines(data)
        self._context.counters.add("lines_from_clients", len(lines))
        self._latency.record_sent(lines, self._context.clock.now_us())
        self._is_sending_to_server = True
        self._blocked_checks = 0
        try:
            await attempt.send(data)
        except OSError as error:
            attempt.record_connection_error(error)
            await self._handle_server_send_error(error)
        finally:
            self._is_sending_to_server = False

    async def _wait_for_attempt(self) -> Attempt:
        """Wait until UP has been forwarded."""
        while self._attempt is None:
            self._attempt_ready = asyncio.get_running_loop().create_future()
            await self._attempt_ready
        return self._attempt

    async def _handle_server_send_error(self, error: OSError) -> None:
        """Handle a failed send to the server: the attempt's task reads the server's remaining lines and its EOF.

        That takes as long as the client takes to read these lines: a fixed time limit would lose the last of them.
        """
        while True:
            await asyncio.sleep(SEND_ERROR_GRACE_S)
            if not self._state.is_sending:
                self._closer.finish(SessionEnd(EndReason.SERVER_ENDED, was_reset=True, why=str(error)))
                return
