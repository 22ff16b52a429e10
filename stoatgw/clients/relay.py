"""Relays an established session: the server's lines to the client, and the client's to the server."""

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
from stoatgw.line_protocol.grammar import MOVE, Keyword, encode_error, parse_number, parse_reply
from stoatgw.line_protocol.splitter import LineAligner, split_lines
from stoatgw.sockets import socket_state, tcp
from stoatgw.telemetry.metrics import RequestOutcome

# A send failed: how long the other task of the session, which reads, may take to find out why, and to pass the rest on.
BREAK_CONFIRMATION_S = 0.5
# So many checks in a row have to find a server that takes nothing before the lines of its broken client are given up.
MIN_BLOCKED_CHECKS = 2
UNPROMPTED_KEYWORDS = (Keyword.LOAD, Keyword.MOVE, Keyword.BYE)  # lines that answer no line of the client


class Relay:
    """Both directions of one session; a `RelayListener` of its attempt.

    The client is read from the start, in a task of its own, to notice when it leaves. What it sends reaches the server
    once UP is passed on. A slow reader on one side slows down the other.

    Both sides are sent whole lines only, and the client nothing behind its last line. So the session may end at any
    moment, for whatever reason, and nobody is left with half a line: half a line that has come is held until its rest
    has, or until its sender ends the session.
    """

    __slots__ = (
        "_attempt",
        "_attempt_ready",
        "_blocked_checks",
        "_class_name",
        "_client_lines",
        "_closer",
        "_context",
        "_has_sent",
        "_is_sending_to_server",
        "_latency",
        "_migration",
        "_request_state",
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
        self._attempt: Attempt | None = None  # once UP is passed on
        self._attempt_ready: asyncio.Future[None] | None = None  # while the client's task waits for that
        self._has_sent: asyncio.Future[None] | None = None  # while the last line waits for the lines before it
        self._is_sending_to_server = False  # and the client is not read meanwhile
        self._blocked_checks = 0  # in a row that found the server to take nothing of what is being sent
        self._client_lines = LineAligner()
        self._server_lines = LineAligner()
        self._migration = SessionMigration(context.log, closer, request_state, self._server_lines)
        self._latency = MessageLatencyTracker()
        self.last_keyword = Keyword.OTHER  # of the server's last complete line

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Counts the request's one answer."""
        if self._state.claim_outcome():
            self._context.metrics.record_outcome(self._class_name, outcome)

    # The server's side.

    async def run(self, attempt: Attempt, server: str) -> AttemptEnd:
        """Passes UP on, then all lines both ways until the server ends the session."""
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
        if not self._state.owes_last_line:  # MOVE may not follow half a line
            await self._send_to_client(self._server_lines.flush())  # the server ended in the middle of a line
        return end

    def half_close_server(self) -> None:
        """Tells the server that its client has ended; what it still sends is passed on."""
        if self._attempt is not None:
            self._attempt.half_close()

    def detach(self) -> None:
        """Ends the relaying to an attempt that is over; may be called where none was established."""
        self._attempt = None
        self._context.established_sessions.pop(self._request_state.request.request_id, None)

    def forward(self, data: bytes) -> Awaitable[None]:
        """Sends the server's lines to the client, once they are complete."""
        lines = self._server_lines.receive_data(data)
        if lines:
            self._observe_server_lines(split_lines(lines))
        return self._send_to_client(lines)

    def _observe_server_lines(self, lines: list[bytes]) -> None:
        now_us = self._context.clock.now_us()
        self._context.counters.add("lines_from_servers", len(lines))
        for line in lines:
            reply = parse_reply(line)
            self.last_keyword = reply.keyword
            if reply.keyword is Keyword.LOAD:
                self._report_load(reply.fields)
            elif reply.keyword not in UNPROMPTED_KEYWORDS:
                self._latency.record_reply(line, now_us)

    def _report_load(self, fields: str) -> None:
        value = parse_number(fields)
        if value is not None:
            kind = self._context.load_line_kind
            self._context.controller.post(SessionMetricObserved(self._request_state, kind, value))

    async def _send_to_client(self, data: bytes) -> None:
        """Sends bytes to the client, unless its last line was sent.

        Between the end of a session and the cancellation of this task lie some turns of the event loop, and MOVE: what
        the server sends before that is passed on, and nothing behind it.
        """
        state = self._state
        if not data or not state.may_send_to_client():
            return
        state.is_sending = True
        try:
            await tcp.send_all(self._sock, data)
        except OSError as error:
            await self._confirm_client_break(error)
            return
        state.is_sending = False
        state.is_aligned = self._server_lines.is_aligned
        if self._has_sent is not None and not self._has_sent.done():
            self._has_sent.set_result(None)
        self._migration.line_sent()

    async def send_last_line(self, last_line: bytes) -> None:
        """Sends the client the line that ends its session, behind those that are being sent. Never raises OSError."""
        state = self._state
        try:
            async with asyncio.timeout(LINGER_S):
                while not state.is_line_complete:  # and again, if the relay had more before this task runs
                    self._has_sent = asyncio.get_running_loop().create_future()
                    await self._has_sent
                state.is_closed_to_client = True
                await self._closer.send_last_line(last_line)
        except (OSError, TimeoutError):
            state.is_closed_to_client = True

    async def _confirm_client_break(self, error: OSError) -> None:
        """The client cannot be sent to: its own task reads what it has sent before, and then its end.

        Not the server's fault, and no end of its session by itself: that would lose the client's last lines.
        """
        self._state.is_closed_to_client = True
        if self._state.has_ended:
            return
        await asyncio.sleep(BREAK_CONFIRMATION_S)
        was_reset = not isinstance(error, BrokenPipeError)
        self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, was_reset=was_reset, why=str(error)))

    def end_if_blocked_client_reset(self) -> None:
        """Ends the session of a client that has reset its connection while its server takes nothing.

        The client is not read meanwhile, and the loop cannot watch a socket with unread bytes for a reset alone.

        A send that is not over is no sign of such a server: it may be about to be repeated, or told of. The server's
        connection itself is asked, and twice, as the client's last lines are lost by this.
        """
        if not self._is_server_blocked() or not socket_state.is_broken(self._sock):
            self._blocked_checks = 0
            return
        self._blocked_checks += 1
        if self._blocked_checks >= MIN_BLOCKED_CHECKS:
            why = "reset by the client, while its server takes nothing"
            self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, was_reset=True, why=why))

    def _is_server_blocked(self) -> bool:
        """Whether the server takes nothing now of what the client has sent."""
        if not self._is_sending_to_server or self._state.has_ended or self._attempt is None:
            return False
        descriptor = self._attempt.descriptor
        return descriptor is not None and descriptor >= 0 and not socket_state.is_writable(descriptor)

    def peers(self) -> Iterator[Peer]:
        """Gives the open connections of the session."""
        yield Peer(PeerSide.CLIENT, self._sock.fileno(), is_blocked=self._is_sending_to_server)
        if self._attempt is not None and self._attempt.descriptor is not None:
            yield Peer(PeerSide.SERVER, self._attempt.descriptor, is_blocked=self._state.is_sending)

    # Migration.

    def migrate(self) -> None:
        """Sends the client away with MOVE, between two lines."""
        self._migration.begin()

    def migrate_now(self) -> None:
        """Sends the client away without waiting for a line that the server has begun: the process ends."""
        if self._request_state.migration_reason is None:
            self._request_state.migration_reason = MigrationReason.DRAIN
        self._migration.begin()
        self._migration.finish()

    def end_after_crash(self, why: str) -> None:
        """Ends the session after a fault of the program, with MOVE where the client can be sent it: it is sound."""
        last_line = MOVE + b"\r\n" if self._state.is_line_complete else b""
        self._closer.finish(SessionEnd(EndReason.MIGRATED, last_line, why=why))

    def abandon_server(self) -> None:
        """Migrates the session because its server answers nothing any more."""
        self._state.record_unresponsive_server()
        self._request_state.migration_reason = MigrationReason.SERVER_UNRESPONSIVE
        self.migrate()

    # The client's side.

    async def read_client(self) -> None:
        """Reads the client until it leaves, which ends the session, or until its server cannot be written to.

        Goes on reading after an end that leaves the client's last lines on their way, until it is cancelled.
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
        if not self._state.has_ended:  # the client ended in the middle of a line, and was not sent away
            await self._send_to_server(self._client_lines.flush())
        self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, why="ended by the client"))

    def _reject_early_data(self) -> None:
        """Guards against commands sent before the answer being served as a session: a client waits for UP."""
        self.record_outcome(RequestOutcome.ERROR)
        reason = "more came before UP"
        self._closer.finish(SessionEnd(EndReason.PROTOCOL_VIOLATED, encode_error(reason), why=reason))

    async def _send_to_server(self, data: bytes) -> None:
        """Sends the client's bytes on; meanwhile the client is not read, however much it sends."""
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
            await self._confirm_server_break(error)
        finally:
            self._is_sending_to_server = False

    async def _wait_for_attempt(self) -> Attempt:
        """Waits until UP is passed on."""
        while self._attempt is None:
            self._attempt_ready = asyncio.get_running_loop().create_future()
            await self._attempt_ready
        return self._attempt

    async def _confirm_server_break(self, error: OSError) -> None:
        """The server cannot be sent to: the attempt's task reads what it has sent before, and then its end.

        That takes as long as the client takes to read it: an end after a fixed time would cut its last lines off.
        """
        while True:
            await asyncio.sleep(BREAK_CONFIRMATION_S)
            if not self._state.is_sending:
                self._closer.finish(SessionEnd(EndReason.SERVER_ENDED, was_reset=True, why=str(error)))
                return
