"""Reconnecting a session of an earlier process to its server."""

from __future__ import annotations

import asyncio

from stoatgw.backends.attempt import Attempt
from stoatgw.backends.backend import Backend
from stoatgw.clients.served_request import ServedRequest
from stoatgw.controller.messages import AttemptEnd, AttemptStage, SessionRestored
from stoatgw.controller.reasons import AnswerReason
from stoatgw.decisions.interface import AttemptStatus

RESTORE_TIMEOUT_S = 39.0
RESTORE_DIAL_TIMEOUT_US = 2_000_000
RESTORE_RETRY_INTERVAL_S = 0.1
RETRIED_STATUSES = (AttemptStatus.DIAL_FAILED, AttemptStatus.SHED)  # after any other status the request may have run


class SessionRestorer:
    """Restores one session on its previous server, with retries while the server is not listed or not ready."""

    def __init__(self, served: ServedRequest, server: str) -> None:
        self._served = served
        self._server = server
        self._attempt: Attempt | None = None
        self._is_established = False
        self._end: AttemptEnd | None = AttemptEnd(
            AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING, "not in the endpoint list"
        )
        self._attempts = 0
        self._logged_reason = ""

    async def run(self) -> None:
        """Connect, relay the session until it ends, and report the result."""
        served = self._served
        served.context.pending_restores[served.request.request_id] = self._reject
        try:
            attempt = await self._establish()
            if attempt is not None:
                self._end = await served.relay.run(attempt, self._server)
        except asyncio.CancelledError:
            self._end = served.closer.state.interrupted_attempt(AttemptStage.ESTABLISHED)
            raise
        except Exception as error:
            served.record_crash(error)
            if self._is_established:
                served.relay.end_after_crash(repr(error))
        finally:
            self._finish()

    def _reject(self) -> None:
        """Answer the client, as the process is about to end."""
        state = self._served.request_state
        state.answer_reason = AnswerReason.DRAINING
        if self._attempt is not None and self._attempt.stage is AttemptStage.SENT:
            state.handler.fail()  # the request may have run
        else:
            state.handler.reject(0)

    async def _establish(self) -> Attempt | None:
        """Make attempts until one is established; return None if retrying is pointless or the time is up."""
        context = self._served.context
        deadline_us = context.clock.now_us() + int(RESTORE_TIMEOUT_S * 1e6)
        while context.clock.now_us() < deadline_us:
            backend = context.backends.get(self._server)
            if backend is not None:
                attempt = await self._connect(backend, deadline_us)
                if self._end is None:
                    return attempt
                if self._end.status not in RETRIED_STATUSES:
                    return None
            self._log_retry()
            await asyncio.sleep(RESTORE_RETRY_INTERVAL_S)
        return None

    def _log_retry(self) -> None:
        """Log why there is a retry if the reason has changed, as ten retries a second may share one reason."""
        reason = self._end.reason if self._end is not None else ""
        if reason != self._logged_reason:
            self._logged_reason = reason
            self._served.log_event("session_restore_retried", backend=self._server, why=reason, attempts=self._attempts)

    async def _connect(self, backend: Backend, deadline_us: int) -> Attempt:
        """Make one attempt and store its end in `_end`, None if it is established."""
        served = self._served
        attempt = served.create_attempt(backend, RESTORE_DIAL_TIMEOUT_US)
        self._attempt = attempt
        self._attempts += 1
        self._end = await attempt.open(lambda _: served.request.line + b"\r\n", deadline_us)
        if self._end is None:
            self._is_established = True
            served.context.pending_restores.pop(served.request.request_id, None)
            served.context.controller.post(SessionRestored(served.request_state, self._server))
        else:
            served.close_attempt(attempt)
        return attempt

    def _finish(self) -> None:
        served = self._served
        served.context.pending_restores.pop(served.request.request_id, None)
        if self._attempt is not None:
            served.close_attempt(self._attempt)
        if self._is_established:
            end = self._end or AttemptEnd(AttemptStatus.DROPPED, AttemptStage.ESTABLISHED, "internal error")
            served.post_attempt_end(0, end)
            served.finish_on_server_end(self._attempt, end)
            return
        reason = self._end.reason if self._end is not None else "internal error"
        served.context.counters.add("sessions_not_restored")
        served.log_event("session_restore_failed", backend=self._server, why=reason, attempts=self._attempts)
        served.request_state.answer_reason = AnswerReason.RESTORE_FAILED
        asyncio.get_running_loop().call_soon(served.request_state.handler.fail)
