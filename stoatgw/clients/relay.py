"""Relays an established session: the server's lines to the client, and the client's to the server."""

from __future__ import annotations

import asyncio
import socket

from stoatgw.backends.attempt import READ_SIZE_BYTES, Attempt
from stoatgw.backends.latency import MessageLatencyTracker
from stoatgw.clients.context import EstablishedSession, ProxyContext
from stoatgw.clients.session_end import SessionCloser
from stoatgw.clients.session_state import EndReason, SessionEnd
from stoatgw.controller.messages import AttemptEnd, MigrationReason, RequestState, SessionMetricObserved
from stoatgw.line_protocol.grammar import MOVE, Keyword, encode_error, parse_number, parse_reply
from stoatgw.line_protocol.splitter import LineSplitter
from stoatgw.telemetry.metrics import RequestOutcome

MAX_EARLY_BYTES = 65_536  # kept of what a client sends while UP is on its way to it
LINE_BOUNDARY_TIMEOUT_S = 0.5  # how long a MOVE waits for the end of an incomplete line
UNPROMPTED_KEYWORDS = (Keyword.LOAD, Keyword.MOVE, Keyword.BYE)  # lines that answer no line of the client


class Relay:
    """Both directions of one session; a `RelayListener` of its attempt.

    The client is read from the start, in a task of its own, to notice when it leaves. What it sends reaches the server
    once UP is passed on. No data is copied or held back on the way: a slow reader on one side slows down the other.
    """

    __slots__ = (
        "_attempt",
        "_class_name",
        "_client_lines",
        "_closer",
        "_context",
        "_early_data",
        "_latency",
        "_request_state",
        "_sock",
        "_state",
    )

    def __init__(self, sock: socket.socket, context: ProxyContext, closer: SessionCloser, class_name: str) -> None:
        self._sock = sock
        self._context = context
        self._state = closer.state
        self._closer = closer
        self._class_name = class_name
        self._request_state: RequestState | None = None  # once established
        self._attempt: Attempt | None = None  # once established and all early data is sent
        self._early_data = bytearray()
        self._client_lines = LineSplitter()
        self._latency = MessageLatencyTracker()

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Counts the request's one answer."""
        if self._state.claim_outcome():
            self._context.metrics.record_outcome(self._class_name, outcome)

    # The server's side.

    async def run(self, request_state: RequestState, attempt: Attempt, server: str) -> AttemptEnd:
        """Passes UP on, then all lines both ways until the server ends the session. Raises OSError."""
        self._context.counters.add("requests_established")
        self._context.established_sessions[request_state.request.request_id] = EstablishedSession(
            request_state, server, self._latency, self.abandon_server
        )
        self._request_state = request_state
        self._state.establish()
        self._context.log.event("session_established", id=request_state.request.request_id, backend=server)
        self.record_outcome(RequestOutcome.SUCCESS)
        await self.forward(attempt.established_data)
        while self._early_data:  # more may come while this is sent
            data = bytes(self._early_data)
            self._early_data.clear()
            self._observe_client_lines(data)
            await attempt.send(data)
        self._attempt = attempt
        return await attempt.relay(self)

    def detach(self, request_state: RequestState) -> None:
        """Ends the relaying to an attempt that is over; may be called where none was established."""
        self._attempt = None
        self._context.established_sessions.pop(request_state.request.request_id, None)

    def lines_received(self, lines: list[bytes]) -> None:
        """Observes complete lines of the server, which `forward` passes on."""
        now_us = self._context.clock.now_us()
        self._context.counters.add("lines_from_servers", len(lines))
        for line in lines:
            reply = parse_reply(line)
            if reply.keyword is Keyword.LOAD and self._request_state is not None:
                self._report_load(self._request_state, reply.fields)
            elif reply.keyword not in UNPROMPTED_KEYWORDS:
                self._latency.record_reply(line, now_us)

    def _report_load(self, request_state: RequestState, fields: str) -> None:
        value = parse_number(fields)
        if value is not None:
            self._context.controller.post(SessionMetricObserved(request_state, self._context.load_line_kind, value))

    async def forward(self, data: bytes) -> None:
        """Sends the server's data to the client. Raises OSError."""
        state = self._state
        state.is_line_complete = False
        await asyncio.get_running_loop().sock_sendall(self._sock, data)
        state.is_line_complete = data.endswith(b"\n")
        if state.is_migrating and state.is_line_complete:
            self._closer.finish(SessionEnd(EndReason.MIGRATED, MOVE + b"\r\n", why=self._migration_reason))

    # Migration.

    def migrate(self) -> None:
        """Sends the client away with MOVE, between two lines."""
        is_between_lines = self._state.request_migration()
        self._context.log.event(
            "session_migrating",
            id=self._request_id,
            why=self._migration_reason,
            is_between_lines=is_between_lines,
        )
        if is_between_lines:
            self._closer.finish(SessionEnd(EndReason.MIGRATED, MOVE + b"\r\n", why=self._migration_reason))
        else:
            # Guards against a server that stops in the middle of a line.
            given_up = SessionEnd(EndReason.MIGRATED, why=f"{self._migration_reason}; its line did not end")
            asyncio.get_running_loop().call_later(LINE_BOUNDARY_TIMEOUT_S, self._closer.finish, given_up)

    @property
    def _request_id(self) -> str | None:
        return self._request_state.request.request_id if self._request_state is not None else None

    @property
    def _migration_reason(self) -> str:
        reason = self._request_state.migration_reason if self._request_state is not None else None
        return reason.value if reason is not None else ""

    def abandon_server(self) -> None:
        """Migrates the session because its server answers nothing any more."""
        self._state.record_unresponsive_server()
        if self._request_state is not None:
            self._request_state.migration_reason = MigrationReason.SERVER_UNRESPONSIVE
        self.migrate()

    # The client's side.

    async def read_client(self) -> None:
        """Reads the client until it leaves, which ends the session, or until its server cannot be written to."""
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(self._sock, READ_SIZE_BYTES):
                if not self._state.is_established:
                    self._reject_early_data()
                    return
                if self._attempt is None:
                    self._keep_early_data(data)
                    continue
                self._observe_client_lines(data)
                try:
                    await self._attempt.send(data)
                except OSError as error:
                    # The server's last lines may still be on their way to the client.
                    await asyncio.sleep(LINE_BOUNDARY_TIMEOUT_S)
                    self._closer.finish(SessionEnd(EndReason.SERVER_ENDED, was_reset=True, why=str(error)))
                    return
            self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, why="ended by the client"))
        except OSError as error:
            was_reset = isinstance(error, ConnectionResetError)
            self._closer.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, was_reset=was_reset, why=str(error)))

    def _reject_early_data(self) -> None:
        """Guards against commands sent before the answer being served as a session: a client waits for UP."""
        self.record_outcome(RequestOutcome.ERROR)
        self._closer.finish(
            SessionEnd(EndReason.PROTOCOL_VIOLATED, encode_error("more came before UP"), why="more came before UP")
        )

    def _keep_early_data(self, data: bytes) -> None:
        self._early_data += data
        if len(self._early_data) > MAX_EARLY_BYTES:
            raise ConnectionError("too much before UP")

    def _observe_client_lines(self, data: bytes) -> None:
        lines = self._client_lines.receive_data(data)
        self._context.counters.add("lines_from_clients", len(lines))
        self._latency.record_sent(lines, self._context.clock.now_us())
