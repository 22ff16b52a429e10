"""Serving one accepted request: the session's tasks, and the controller's requests to it."""

from __future__ import annotations

import asyncio
import socket

from stoatgw.clients.attempt_runner import AttemptRunner, cancel_and_wait
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.relay import Relay
from stoatgw.clients.served_request import ServedRequest
from stoatgw.clients.session_closer import LINGER_S, SessionCloser
from stoatgw.clients.session_restore import SessionRestorer
from stoatgw.clients.session_state import EndReason, SessionEnd
from stoatgw.controller.messages import ClientDisconnected, RequestReceived, RequestState
from stoatgw.decisions.interface import Request
from stoatgw.line_protocol.grammar import SessionRequest, encode_busy, encode_error
from stoatgw.telemetry.metrics import RequestOutcome

# How long lines that the client sends before it receives MOVE are still forwarded, unless it disconnects earlier.
LAST_LINES_TIMEOUT_S = 0.25


class SessionRequestHandler:
    """The `RequestHandler` of a client on a socket.

    `serve` runs in the task of the client's connection; the other public methods are called by the controller's task.
    """

    __slots__ = ("_attempts", "_closer", "_context", "_relay", "_request", "_request_state", "_served")

    def __init__(
        self, sock: socket.socket, context: ProxyContext, request: SessionRequest, closer: SessionCloser
    ) -> None:
        self._context = context
        self._request = request
        self._closer = closer
        self._request_state = self._create_request_state()
        self._relay = Relay(sock, context, closer, self._request_state, request.class_name)
        self._served = ServedRequest(context, request, self._request_state, closer, self._relay)
        self._attempts = AttemptRunner(self._served)

    def _create_request_state(self) -> RequestState:
        context = self._context
        request = self._request
        now_us = context.clock.now_us()
        timeout_us = request.timeout_ms * 1000
        return RequestState(
            Request(
                request_id=request.request_id,
                request_class=context.class_indexes[request.class_name],
                time_left_us=timeout_us,
                # A tenant that the settings do not name has no quota, and must not use up that of another.
                tenant=context.tenant_indexes.get(request.tenant, len(context.tenant_indexes)),
                idempotency_key=request.idempotency_key,
                group=request.group if context.deployment.settings.groups else None,
                hint_us=request.load_hint,
                hint_valid=request.load_hint is not None,
                is_client_retry=request.is_client_retry,
                is_returning=request.is_returning,
            ),
            now_us + timeout_us,
            self,
        )

    # Session life cycle.

    async def serve(self) -> SessionEnd:
        """Serve the request until the session ends; on return its tasks are done, and both connections are open."""
        reader = asyncio.get_running_loop().create_task(self._read_client())
        self._context.metrics.open_requests += 1
        self._start()
        try:
            end = await self._wait_for_end()
            await self._forward_last_lines(end, reader)
            return end
        finally:
            # A socket may be closed only when no task waits on it.
            await cancel_and_wait(reader)
            await self._attempts.stop()

    async def _read_client(self) -> None:
        try:
            await self._relay.read_client()
        except Exception as error:
            self._served.record_crash(error)
            if self._closer.state.is_established:
                self._relay.end_after_crash(repr(error))
            else:
                self.fail()

    async def _wait_for_end(self) -> SessionEnd:
        try:
            return await self._closer.wait()
        finally:
            self._context.metrics.open_requests -= 1
            if self._closer.state.must_report_disconnect():
                self._context.controller.post(ClientDisconnected(self._request_state))

    async def _forward_last_lines(self, end: SessionEnd, reader: asyncio.Task[None]) -> None:
        """Forward the last lines of the side that did not end the session, if the end was orderly."""
        if end.was_reset or not self._closer.state.is_established:
            return
        if end.reason is EndReason.CLIENT_DISCONNECTED:
            self._relay.half_close_server()
            await self._attempts.wait(LINGER_S)
        elif end.reason is EndReason.MIGRATED and end.last_line:
            await self._relay.send_last_line(end.last_line)
            await asyncio.wait([reader], timeout=LAST_LINES_TIMEOUT_S)

    def _start(self) -> None:
        if self._request.previous_server is not None:
            self._context.counters.add("requests_restored")
            self._attempts.start_restore(SessionRestorer(self._served, self._request.previous_server).run())
        else:
            self._context.counters.add("requests")
            self._context.controller.post(RequestReceived(self._request_state))

    def log_end(self, end: SessionEnd) -> None:
        """Log how the session ended, and why."""
        state = self._closer.state
        self._served.log_event(
            "session_ended",
            reason=end.reason.value,
            why=end.why,
            answer=end.last_line.decode("ascii", "replace").strip(),
            was_established=state.is_established,
            was_reset=end.was_reset,
            backend=self._request_state.server,
        )

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Count the request's outcome, unless one was counted before."""
        self._relay.record_outcome(outcome)

    # Calls of the controller: see `RequestHandler`.

    def start_attempt(self, number: int, server: str, deadline_us: int) -> None:
        """Start an attempt at a server."""
        self._attempts.start(number, server, deadline_us)

    def cancel_attempt(self, number: int) -> None:
        """Cancel the attempt in progress."""
        self._attempts.cancel()

    def reject(self, retry_after_us: int) -> None:
        """Answer BUSY."""
        self._answer(RequestOutcome.OVERLOAD, encode_busy(retry_after_us))

    def fail(self) -> None:
        """Answer ERR."""
        self._answer(RequestOutcome.ERROR, encode_error("failed"))

    def _answer(self, outcome: RequestOutcome, line: bytes) -> None:
        if self._closer.state.can_answer():
            self.record_outcome(outcome)
            reason = self._request_state.answer_reason
            self._closer.finish(SessionEnd(EndReason.ANSWERED, line, why=reason.value if reason is not None else ""))

    def migrate(self) -> None:
        """Migrate the session: end it with MOVE, between two lines."""
        self._relay.migrate()
