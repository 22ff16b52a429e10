"""One client session: from the accepted connection to its end. Exceptions stop here."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from enum import Enum
from functools import partial

from stoatgw.backends.attempt import READ_SIZE_BYTES, Attempt
from stoatgw.backends.backend import Backend
from stoatgw.backends.latency import MessageLatencyTracker
from stoatgw.clients.context import EstablishedSession, ProxyContext
from stoatgw.clients.request_reader import RequestReader
from stoatgw.controller.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptEstablished,
    AttemptStage,
    ClientDisconnected,
    RequestReceived,
    RequestState,
    SessionMetricObserved,
    SessionRestored,
)
from stoatgw.decisions.interface import AttemptStatus, Request
from stoatgw.line_protocol.grammar import (
    MOVE,
    Keyword,
    MalformedRequest,
    SessionRequest,
    encode_busy,
    encode_error,
    parse_number,
    parse_reply,
)
from stoatgw.line_protocol.splitter import LineSplitter
from stoatgw.sockets import tcp
from stoatgw.telemetry.metrics import RequestOutcome

LINGER_S = 1.0  # a peer has so long to end its side after ours has ended
ANSWERED_LINGER_S = 0.25  # and after a refusal or an error, which nothing on its way can follow
EARLY_CAP = 65_536  # bytes kept that a client sends while UP is on its way to it
LINE_BOUNDARY_TIMEOUT_S = 0.5  # a MOVE waits so long for the end of a line under way
RESTORE_S, RESTORE_DIAL_US, RESTORE_PAUSE_S = 39.0, 2_000_000, 0.1
UNTIMED = (Keyword.LOAD, Keyword.MOVE, Keyword.BYE)  # lines that answer no line of the client


class EndReason(Enum):
    """What ended a session."""

    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "client_disconnected"
    PROTOCOL_VIOLATED = "protocol_violated"  # it did not wait for UP
    SERVER_ENDED = "server_ended"
    MIGRATED = "migrated"


GONE = (EndReason.CLIENT_DISCONNECTED, EndReason.PROTOCOL_VIOLATED)  # the decisions owe nothing any more


@dataclass(frozen=True, slots=True)
class SessionEnd:
    reason: EndReason
    line: bytes = b""
    reset: bool = False


class ClientSession:
    def __init__(self, sock: socket.socket, context: ProxyContext) -> None:
        self._sock, self._context = sock, context
        self._opening = RequestReader(sock, context)
        context.descriptor_limiter.add_idle(self._opening)
        self._asking = LineSplitter()  # for the lines after UP
        self._end: asyncio.Future[SessionEnd] = asyncio.get_running_loop().create_future()
        self._req: RequestState | None = None
        self._open: SessionRequest | None = None
        self._up = False  # UP is on its way to the client, or has come there: the one answer
        self._early = bytearray()
        self._attempt: Attempt | None = None  # the one that is up
        self._parting: Attempt | None = None  # was up, and our sending there is ended
        self._attempting: asyncio.Task[None] | None = None
        self._began = -1  # the last attempt whose task ran at all
        self._messages = MessageLatencyTracker()
        self._between_lines = True  # on the way to the client
        self._move_asked = False
        self._given_up = AttemptStatus.REVOKED
        self._class = ""  # of the request taken, until its answer is counted

    async def run(self) -> None:
        counters, room, taken = self._context.counters, self._context.descriptor_limiter, False
        opened: SessionRequest | MalformedRequest | None = None
        try:
            opened = await self._opening.read_request()
            room.remove_idle(self._opening)
            if opened is None:
                # BUSY: a request that crosses it on the way has its answer, and may be repeated.
                await self._context.reject_connection(self._sock, encode_busy(0))
                return
            if isinstance(opened, MalformedRequest):
                counters.add("requests_malformed")
                self._context.metrics.record_outcome(opened.class_name, RequestOutcome.ERROR)
                await self._context.reject_connection(self._sock, encode_error(opened.reason))
                return
            self._class = opened.class_name
            taken = room.acquire_request()
            if not taken:
                counters.add("requests_over_descriptor_limit")
                self._count(RequestOutcome.OVERLOAD)
                await tcp.close_gracefully(self._sock, encode_busy(0), ANSWERED_LINGER_S)
                return
            end = await self._serve(opened)
            counters.add(f"sessions_{end.reason.value}")
            if end.reset or end.reason is EndReason.CLIENT_DISCONNECTED:  # nobody is there to read a last line
                tcp.close(self._sock, reset=end.reset)
                ours = None
            else:
                answered = end.reason in (EndReason.ANSWERED, EndReason.PROTOCOL_VIOLATED)
                ours = tcp.close_gracefully(self._sock, end.line, ANSWERED_LINGER_S if answered else LINGER_S)
            parted = self._parting.close_gracefully(LINGER_S) if self._parting is not None else None
            await asyncio.gather(*(each for each in (ours, parted) if each is not None))
        except OSError:
            counters.add("sessions_broken")
            tcp.close(self._sock)
        except Exception as fault:
            counters.add("sessions_crashed")
            self._count(RequestOutcome.ERROR)
            self._context.log.event("session_crashed", error=repr(fault))
            tcp.close(self._sock)
        finally:
            tcp.close(self._sock)
            if self._parting is not None:
                self._parting.close()
            room.remove_idle(self._opening)
            if taken:
                room.release_request()
            if isinstance(opened, SessionRequest):
                self._context.request_ids.mark_ended(opened.request_id)

    async def _serve(self, opened: SessionRequest) -> SessionEnd:
        self._open = opened
        loop, owner = asyncio.get_running_loop(), self._context.controller
        req = self._req = self._ask(opened)
        reader = loop.create_task(self._read_client())
        self._context.metrics.open_requests += 1
        if opened.restore_at is not None:
            self._context.counters.add("requests_restored")
            self._attempting = loop.create_task(self._restore(req, opened, opened.restore_at))
        else:
            self._context.counters.add("requests")
            owner.post(RequestReceived(req))
        try:
            end = await asyncio.shield(self._end)
        finally:
            self._context.metrics.open_requests -= 1
            # A socket may be closed only once no task waits on it.
            await _stop(reader)
            if not self._end.done() or self._end.result().reason in GONE:
                owner.post(ClientDisconnected(req))
            if self._attempting is not None:
                await _stop(self._attempting)
        return end

    def _ask(self, opened: SessionRequest) -> RequestState:
        now_us = self._context.clock.now_us()
        asked = Request(
            request_id=opened.request_id,
            request_class=self._context.class_indexes[opened.class_name],
            time_left_us=opened.timeout_ms * 1000,
            # One that the settings do not name has no quota: it may not use up that of another.
            tenant=self._context.tenant_indexes.get(opened.tenant, len(self._context.tenant_indexes)),
            idempotency_key=opened.idempotency_key,
            group=opened.group if self._context.deployment.settings.groups else None,
            hint_us=opened.load_hint,
            hint_valid=opened.load_hint is not None,
            is_client_retry=opened.is_client_retry,
            is_returning=opened.is_returning,
        )
        return RequestState(asked, now_us + opened.timeout_ms * 1000, self)

    def _finish(self, end: SessionEnd) -> None:
        if not self._end.done():
            self._end.set_result(end)

    # The owner's side: see Door.

    def start_attempt(self, number: int, server: str, cut_at_us: int) -> None:
        req = self._req
        if req is None:
            return
        if self._end.done():
            # Guards against a client that left before the owner's turn: its line would run for nobody.
            gone = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "its client has gone")
            self._context.controller.post(AttemptEnded(req, number, gone))
            return
        self._attempting = asyncio.get_running_loop().create_task(
            self._run_attempt(req, number, server, cut_at_us, self._attempting)
        )
        self._attempting.add_done_callback(partial(self._never_begun, req, number))

    def _never_begun(self, req: RequestState, number: int, _: asyncio.Task[None]) -> None:
        """A task that is cancelled before its first step runs no code of its own: its end is told all the same."""
        if self._began != number:
            given_up = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "never begun")
            self._context.controller.post(AttemptEnded(req, number, given_up))

    def cancel_attempt(self, number: int) -> None:
        if self._attempting is not None:
            self._attempting.cancel()

    def _count(self, verdict: RequestOutcome) -> None:
        """The request's one answer, counted once; nothing for a client that left before it."""
        if self._class and not self._end.done():
            self._context.metrics.record_outcome(self._class, verdict)
            self._class = ""

    def reject(self, retry_after_us: int) -> None:
        self._answer(RequestOutcome.OVERLOAD, encode_busy(retry_after_us))

    def fail(self) -> None:
        self._answer(RequestOutcome.ERROR, encode_error("failed"))

    def _answer(self, verdict: RequestOutcome, line: bytes) -> None:
        """Guards against a second answer: UP may be on its way while the owner's turn finds the time to be up."""
        if not self._up:
            self._count(verdict)
            self._finish(SessionEnd(EndReason.ANSWERED, line))

    def migrate(self) -> None:
        """Send the client away, between two lines."""
        self._move_asked = True
        if self._between_lines:
            self._finish(SessionEnd(EndReason.MIGRATED, MOVE + b"\r\n"))
        else:
            # Guards against a backend that stops in the middle of a line.
            asyncio.get_running_loop().call_later(LINE_BOUNDARY_TIMEOUT_S, self._finish, SessionEnd(EndReason.MIGRATED))

    def abandon_server(self) -> None:
        """The backend answers nothing any more: its client is better off elsewhere."""
        self._given_up = AttemptStatus.DROPPED
        self.migrate()

    # The backend's side.

    async def _run_attempt(
        self, req: RequestState, number: int, server: str, cut_at_us: int, before: asyncio.Task[None] | None
    ) -> None:
        context, end, attempt = (
            self._context,
            AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "given up"),
            None,
        )
        self._began = number
        try:
            if before is not None and not before.done():
                await asyncio.wait([before])  # never two at a time
            backend, opened = context.backends.get(server), self._open
            if backend is None or opened is None:
                end = AttemptEnd(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING, "no such backend")
                return
            attempt = self._make_attempt(backend, context.deployment.dial_timeout_us)
            ended = await attempt.open(opened.encode, cut_at_us, req.retry_before_us)
            if ended is None and self._end.done():
                # Guards against UP passed on behind another answer, or for a client that has gone.
                ended = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.ESTABLISHED, "its client was answered meanwhile")
            if ended is None:
                context.controller.post(AttemptEstablished(req, number))
                ended = await self._stand(req, attempt, server)
            end = ended
        except asyncio.CancelledError:
            end = AttemptEnd(self._given_up, attempt.stage if attempt else AttemptStage.CONNECTING, "given up")
            raise
        except Exception as fault:
            stage = attempt.stage if attempt else AttemptStage.CONNECTING
            ran = stage in (AttemptStage.SENT, AttemptStage.ESTABLISHED)
            end = AttemptEnd(AttemptStatus.DROPPED if ran else AttemptStatus.UNUSED, stage, repr(fault))
            context.counters.add("attempts_crashed")
            context.log.event("attempt_crashed", error=repr(fault))
        finally:
            self._close(req, attempt)
            if end.status not in (AttemptStatus.DELIVERED, AttemptStatus.REVOKED):
                context.log.event(
                    "attempt_failed",
                    id=req.request.request_id,
                    backend=server,
                    status=end.status.value,
                    stage=end.stage.value,
                    why=end.reason,
                )
            context.controller.post(AttemptEnded(req, number, end))
            if end.stage is AttemptStage.ESTABLISHED:
                self._finish(SessionEnd(EndReason.SERVER_ENDED, reset=attempt is not None and attempt.was_reset))

    async def _restore(self, req: RequestState, opened: SessionRequest, server: str) -> None:
        """A connection that stood before: back to its backend, also where the list or the backend is late."""
        context, loop = self._context, asyncio.get_running_loop()
        until_us = context.clock.now_us() + int(RESTORE_S * 1e6)
        end: AttemptEnd | None = AttemptEnd(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING, "not listed")
        attempt: Attempt | None = None
        stood = False
        try:
            while context.clock.now_us() < until_us:
                backend = context.backends.get(server)
                if backend is not None:
                    attempt = self._make_attempt(backend, RESTORE_DIAL_US)
                    end = await attempt.open(lambda _: opened.line + b"\r\n", until_us)
                    if end is None:
                        stood = True
                        context.controller.post(SessionRestored(req, server))
                        end = await self._stand(req, attempt, server)
                        break
                    self._close(req, attempt)
                    if end.status not in (AttemptStatus.DIAL_FAILED, AttemptStatus.SHED):
                        break  # it may have run: not again
                await asyncio.sleep(RESTORE_PAUSE_S)
        except asyncio.CancelledError:
            end = AttemptEnd(self._given_up, AttemptStage.ESTABLISHED, "given up")
            raise
        except Exception as fault:
            context.counters.add("attempts_crashed")
            context.log.event("attempt_crashed", error=repr(fault))
        finally:
            self._close(req, attempt)
            if stood:
                owner_end = end or AttemptEnd(AttemptStatus.DROPPED, AttemptStage.ESTABLISHED, "fault")
                context.controller.post(AttemptEnded(req, 0, owner_end))
                self._finish(SessionEnd(EndReason.SERVER_ENDED, reset=attempt is not None and attempt.was_reset))
            else:
                context.counters.add("sessions_not_restored")
                context.log.event("session_restore_failed", id=opened.request_id, why=end.reason if end else "fault")
                loop.call_soon(self.fail)

    def _make_attempt(self, backend: Backend, dial_us: int) -> Attempt:
        context = self._context
        grace_us = context.deployment.settings.drain_grace_us
        return Attempt(backend, context.clock, dial_us, grace_us, context.load_report_row, self._dispatched)

    def _dispatched(self) -> None:
        self._context.metrics.dispatches += 1

    async def _stand(self, req: RequestState, attempt: Attempt, server: str) -> AttemptEnd:
        """Up: pass UP on, then all lines both ways until the backend ends."""
        context = self._context
        context.counters.add("requests_established")
        context.established_sessions[req.request.request_id] = EstablishedSession(
            req, server, self._messages, self.abandon_server
        )
        self._up = True
        self._count(RequestOutcome.SUCCESS)
        await self.forward(attempt.established_data)
        while self._early:  # more may come while these are sent
            data = bytes(self._early)
            self._early.clear()
            self._heard_client(data)
            await attempt.send(data)
        self._attempt = attempt
        return await attempt.relay(self)

    def _close(self, req: RequestState, attempt: Attempt | None) -> None:
        self._attempt = None
        self._context.established_sessions.pop(req.request.request_id, None)
        if attempt is None:
            return
        end = self._end.result() if self._end.done() else None
        politely = (
            end is not None and end.reason in (EndReason.CLIENT_DISCONNECTED, EndReason.MIGRATED) and not end.reset
        )
        if attempt.stage is AttemptStage.ESTABLISHED and politely:
            # Closed over unread bytes, it would be reset, and the client's last lines might go with that.
            attempt.half_close()
            self._parting = attempt
        else:
            attempt.close(reset=end is not None and end.reset)

    def lines_received(self, lines: list[bytes]) -> None:
        now_us, context = self._context.clock.now_us(), self._context
        context.counters.add("lines_from_servers", len(lines))
        for line in lines:
            reply = parse_reply(line)
            if reply.keyword is Keyword.LOAD and self._req is not None:
                value = parse_number(reply.fields)
                if value is not None:
                    context.controller.post(SessionMetricObserved(self._req, context.load_line_kind, value))
            elif reply.keyword not in UNTIMED:
                self._messages.record_reply(line, now_us)

    async def forward(self, data: bytes) -> None:
        self._between_lines = False
        await asyncio.get_running_loop().sock_sendall(self._sock, data)
        self._between_lines = data.endswith(b"\n")
        if self._move_asked and self._between_lines:
            self._finish(SessionEnd(EndReason.MIGRATED, MOVE + b"\r\n"))

    # The client's side.

    def _heard_client(self, data: bytes) -> None:
        lines = self._asking.receive_data(data)
        self._context.counters.add("lines_from_clients", len(lines))
        self._messages.record_sent(lines, self._context.clock.now_us())

    async def _read_client(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(self._sock, READ_SIZE_BYTES):
                if not self._up:
                    # Guards against commands sent before the answer being served as though they were a
                    # session: a client waits for UP.
                    self._count(RequestOutcome.ERROR)
                    self._finish(SessionEnd(EndReason.PROTOCOL_VIOLATED, encode_error("more came before UP")))
                    return
                if self._attempt is None:
                    self._early += data
                    if len(self._early) > EARLY_CAP:
                        raise ConnectionError("too much before UP")
                    continue
                self._heard_client(data)
                try:
                    await self._attempt.send(data)
                except OSError:
                    # The backend's last lines may still be on their way to the client.
                    await asyncio.sleep(LINE_BOUNDARY_TIMEOUT_S)
                    self._finish(SessionEnd(EndReason.SERVER_ENDED, reset=True))
                    return
            self._finish(SessionEnd(EndReason.CLIENT_DISCONNECTED))
        except OSError as fault:
            self._finish(SessionEnd(EndReason.CLIENT_DISCONNECTED, reset=isinstance(fault, ConnectionResetError)))


async def _stop(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it is over; its faults were its own to tell."""
    if not task.done():
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
