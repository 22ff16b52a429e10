"""Runs the attempts of one request, one at a time, and reports the end of each to the controller."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

from stoatgw.backends.attempt import Attempt
from stoatgw.clients.served_request import ServedRequest
from stoatgw.controller.messages import AttemptEnd, AttemptEstablished, AttemptStage
from stoatgw.decisions.interface import AttemptStatus

UNLOGGED_STATUSES = (AttemptStatus.DELIVERED, AttemptStatus.REVOKED)


async def cancel_and_wait(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it is over; its faults were its own to report."""
    if not task.done():
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task


@dataclass(slots=True)
class _AttemptRun:
    """What the controller asked for, and what has come of it so far."""

    number: int
    server: str
    deadline_us: int
    end: AttemptEnd
    attempt: Attempt | None = None

    @property
    def stage(self) -> AttemptStage:
        """How far it has come."""
        return self.attempt.stage if self.attempt is not None else AttemptStage.CONNECTING


class AttemptRunner:
    """Owns the task that connects a request to a server, of which one at a time does anything.

    The controller's task starts and cancels attempts; the task of the client's connection calls `stop` once the
    session has ended. Nobody else cancels the task.
    """

    __slots__ = ("_last_begun", "_served", "_task")

    def __init__(self, served: ServedRequest) -> None:
        self._served = served
        self._task: asyncio.Task[None] | None = None
        self._last_begun = -1  # number of the last attempt whose task ran at all

    def start_restore(self, restore: Coroutine[Any, Any, None]) -> None:
        """Runs the restoring of a session in place of attempts."""
        self._task = asyncio.get_running_loop().create_task(restore)

    def start(self, number: int, server: str, deadline_us: int) -> None:
        """Starts an attempt, which begins once the one before it is over; its end is posted in any case."""
        state = self._served.closer.state
        refused = state.refuse_attempt()
        if refused is not None:
            self._served.post_attempt_end(number, refused)
            return
        if number:
            self._served.log_event("attempt_retried", backend=server, attempt=number)
        run = _AttemptRun(number, server, deadline_us, state.interrupted_attempt(AttemptStage.CONNECTING))
        self._task = asyncio.get_running_loop().create_task(self._run(run, self._task))
        self._task.add_done_callback(partial(self._report_never_begun, number))

    def cancel(self) -> None:
        """Cancels the attempt in progress, which still posts its end; one that is established is a session, and stays.

        The controller may not have learned yet that it is.
        """
        if self._task is not None and not self._served.closer.state.is_established:
            self._task.cancel()

    async def wait(self, timeout_s: float) -> None:
        """Waits until the attempt in progress is over by itself, or the timeout."""
        if self._task is not None:
            await asyncio.wait([self._task], timeout=timeout_s)

    async def stop(self) -> None:
        """Cancels the attempt in progress, and waits until it is over."""
        if self._task is not None:
            await cancel_and_wait(self._task)

    def _report_never_begun(self, number: int, _: asyncio.Task[None]) -> None:
        """Posts the end of an attempt whose task was cancelled before its first step, and so ran no code of its own."""
        if self._last_begun != number:
            end = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "never begun")
            self._served.post_attempt_end(number, end)

    async def _run(self, run: _AttemptRun, previous: asyncio.Task[None] | None) -> None:
        served = self._served
        self._last_begun = run.number
        try:
            if previous is not None and not previous.done():
                await asyncio.wait([previous])
            attempt = await self._establish(run)
            if attempt is not None:
                run.end = await served.relay.run(attempt, run.server)
        except asyncio.CancelledError:
            run.end = served.closer.state.interrupted_attempt(run.stage)
            raise
        except Exception as error:
            may_have_run = run.stage in (AttemptStage.SENT, AttemptStage.ESTABLISHED)
            run.end = AttemptEnd(
                AttemptStatus.DROPPED if may_have_run else AttemptStatus.UNUSED, run.stage, repr(error)
            )
            served.record_crash(error)
            if run.stage is AttemptStage.ESTABLISHED:
                served.relay.end_after_crash(repr(error))
        finally:
            self._finish(run)

    async def _establish(self, run: _AttemptRun) -> Attempt | None:
        """Connects and sends the request; None if that ended the attempt, and `run.end` says how."""
        served = self._served
        backend = served.context.backends.get(run.server)
        if backend is None:
            run.end = AttemptEnd(AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING, "no such backend")
            return None
        attempt = served.create_attempt(backend, served.context.deployment.dial_timeout_us)
        run.attempt = attempt
        end = await attempt.open(served.request.encode, run.deadline_us, served.request_state.retry_before_us)
        if end is None:
            end = served.closer.state.refuse_establishment()
        if end is not None:
            run.end = end
            return None
        served.context.controller.post(AttemptEstablished(served.request_state, run.number))
        return attempt

    def _finish(self, run: _AttemptRun) -> None:
        served = self._served
        served.close_attempt(run.attempt)
        if run.end.status is AttemptStatus.DROPPED and served.closer.state.has_ended:
            # The proxy, or the client, ended the session first: that its server then does is not its fault.
            run.end = served.closer.state.interrupted_attempt(run.stage)
        if run.end.status not in UNLOGGED_STATUSES:
            served.log_event(
                "attempt_failed",
                backend=run.server,
                status=run.end.status.value,
                stage=run.end.stage.value,
                why=run.end.reason,
            )
        served.post_attempt_end(run.number, run.end)
        if run.end.stage is AttemptStage.ESTABLISHED:
            served.finish_by_server(run.attempt, run.end)
