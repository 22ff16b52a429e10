"""Running the attempts of one request, one at a time, and reporting the end of each to the controller."""

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
    """Cancel a task and wait until it is done; its exceptions are dropped, as the task itself reports them."""
    if not task.done():
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task


@dataclass(slots=True)
class _AttemptRun:
    """An attempt that the controller requested, and its result so far."""

    number: int
    server: str
    deadline_us: int
    end: AttemptEnd
    attempt: Attempt | None = None

    @property
    def stage(self) -> AttemptStage:
        """How far the attempt has progressed."""
        return self.attempt.stage if self.attempt is not None else AttemptStage.CONNECTING


class AttemptRunner:
    """Owner of the task that connects a request to a server; a new attempt waits until the previous task is done.

    The controller's task starts and cancels attempts; the task of the client's connection calls `stop` once the
    session has ended. Nothing else cancels the task.
    """

    __slots__ = ("_last_run_number", "_served", "_task")

    def __init__(self, served: ServedRequest) -> None:
        self._served = served
        self._task: asyncio.Task[None] | None = None
        self._last_run_number = -1  # number of the last attempt whose task started to run

    def start_restore(self, restore: Coroutine[Any, Any, None]) -> None:
        """Run the restoration of a session instead of attempts."""
        self._task = asyncio.get_running_loop().create_task(restore)

    def start(self, number: int, server: str, deadline_us: int) -> None:
        """Start an attempt, which runs once the previous one is over; its end is posted in any case."""
        state = self._served.closer.state
        refused = state.refuse_attempt()
        if refused is not None:
            self._served.post_attempt_end(number, refused)
            return
        if number:
            self._served.log_event("attempt_retried", backend=server, attempt=number)
        run = _AttemptRun(number, server, deadline_us, state.interrupted_attempt(AttemptStage.CONNECTING))
        self._task = asyncio.get_running_loop().create_task(self._run(run, self._task))
        self._task.add_done_callback(partial(self._report_never_run, number))

    def cancel(self) -> None:
        """Cancel the attempt in progress, which still posts its end; an established session is left alone.

        The controller may not have processed the `AttemptEstablished` message yet.
        """
        if self._task is not None and not self._served.closer.state.is_established:
            self._task.cancel()

    async def wait(self, timeout_s: float) -> None:
        """Wait until the attempt in progress ends by itself, or until the timeout."""
        if self._task is not None:
            await asyncio.wait([self._task], timeout=timeout_s)

    async def stop(self) -> None:
        """Cancel the attempt in progress, and wait until it is over."""
        if self._task is not None:
            await cancel_and_wait(self._task)

    def _report_never_run(self, number: int, _: asyncio.Task[None]) -> None:
        """Post the end of an attempt whose task was cancelled before its first step, and so ran none of its code."""
        if self._last_run_number != number:
            end = AttemptEnd(AttemptStatus.REVOKED, AttemptStage.CONNECTING, "cancelled before it ran")
            self._served.post_attempt_end(number, end)

    async def _run(self, run: _AttemptRun, previous: asyncio.Task[None] | None) -> None:
        served = self._served
        self._last_run_number = run.number
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
        """Connect and send the request; return None if the attempt ended, with the result in `run.end`."""
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
            # The proxy or the client ended the session first: the server's disconnection after that is not its failure.
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
            served.finish_on_server_end(run.attempt, run.end)
