"""Virtual time: one heap of timers, and an asyncio event loop for each modelled process that runs in it.

Order at one microsecond: first all that is ready, in the order in which it became ready; then what is due, by (tie,
order of scheduling). `tie` is 0, so what was scheduled first runs first; with a `shuffle` generator it is drawn, so
that tests see every order that a real machine could show.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVarTuple, Unpack

import numpy as np

from stoatgw.clock import Clock

Action = Callable[[], None]

MAX_TIE = 1 << 30

_Ts = TypeVarTuple("_Ts")


class VirtualScheduler:
    """The virtual clock and all that waits for it."""

    def __init__(self, start_us: int, shuffle: np.random.Generator | None = None) -> None:
        self._now_us = start_us
        self._timers: list[tuple[int, int, int, Action]] = []  # a heap by time, tie and order of scheduling
        self._ready: deque[Action] = deque()
        self._scheduled = 0
        self._shuffle = shuffle
        self.executed_steps = 0

    def now_us(self) -> int:
        """The current time."""
        return self._now_us

    def call_at(self, time_us: int, callback: Action) -> None:
        """Run `callback` at a time; one in the past runs now, after what is ready."""
        self._scheduled += 1
        tie = int(self._shuffle.integers(MAX_TIE)) if self._shuffle is not None else 0
        heapq.heappush(self._timers, (max(time_us, self._now_us), tie, self._scheduled, callback))

    def call_soon(self, callback: Action) -> None:
        """Run `callback` now, after all that is ready."""
        self._ready.append(callback)

    def run_until(self, until_us: int) -> None:
        """Run all that is due up to a time, and move the clock there."""
        timers = self._timers
        ready = self._ready
        while True:
            while ready:
                self.executed_steps += 1
                ready.popleft()()
            if not timers or timers[0][0] > until_us:
                break
            time_us, _, _, callback = heapq.heappop(timers)
            self._now_us = time_us
            self.executed_steps += 1
            callback()
        self._now_us = max(self._now_us, until_us)


class VirtualClock(Clock):
    """The scheduler's time as a proxy's clock."""

    def __init__(self, scheduler: VirtualScheduler) -> None:
        self._scheduler = scheduler

    def now_us(self) -> int:
        """The current time."""
        return self._scheduler.now_us()


class ProcessEventLoop(asyncio.AbstractEventLoop):
    """The event loop of one modelled process: it can be frozen, thawed and killed.

    Only what the controller needs is there: tasks, futures, `call_soon`, `call_later`, `call_at`.
    """

    def __init__(self, scheduler: VirtualScheduler) -> None:
        self._scheduler = scheduler
        self._held_back: list[Action] | None = None  # while frozen
        self._is_killed = False
        self.unhandled_errors: list[dict[str, Any]] = []

    # The process.

    def freeze(self) -> None:
        """Hold back all that is due, as SIGSTOP does."""
        if self._held_back is None:
            self._held_back = []

    def thaw(self) -> None:
        """Run all that became due meanwhile, in its order."""
        held_back = self._held_back or []
        self._held_back = None
        for action in held_back:
            self._scheduler.call_soon(action)

    def kill(self) -> None:
        """Run nothing any more."""
        self._is_killed = True
        self._held_back = None

    @property
    def is_frozen(self) -> bool:
        """Whether it is frozen now."""
        return self._held_back is not None

    @property
    def is_killed(self) -> bool:
        """Whether it was killed."""
        return self._is_killed

    def deliver(self, action: Action) -> None:
        """Run code of this process now; it is held back while frozen, and dropped once killed."""
        if self._is_killed:
            return
        if self._held_back is not None:
            self._held_back.append(lambda: self.deliver(action))
            return
        previous_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            action()
        finally:
            asyncio._set_running_loop(previous_loop)

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            self.deliver(handle._run)

    # The interface of asyncio.

    def time(self) -> float:
        """The current time in seconds."""
        return self._scheduler.now_us() / 1e6

    def call_soon(
        self, callback: Callable[[Unpack[_Ts]], object], *args: *_Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """See asyncio."""
        handle = asyncio.Handle(callback, args, self, context or contextvars.copy_context())
        self._scheduler.call_soon(lambda: self._run_handle(handle))
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[[Unpack[_Ts]], object], *args: *_Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """See asyncio; there are no threads in virtual time."""
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self,
        delay: float,
        callback: Callable[[Unpack[_Ts]], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """See asyncio; the delay is rounded to microseconds."""
        due_us = self._scheduler.now_us() + max(0, round(delay * 1e6))
        handle = asyncio.TimerHandle(due_us / 1e6, callback, args, self, context or contextvars.copy_context())
        self._scheduler.call_at(due_us, lambda: self._run_handle(handle))
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[_Ts]], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """See asyncio."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Called by asyncio; a cancelled timer is passed over when due."""

    def create_future(self) -> asyncio.Future[Any]:
        """See asyncio."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task[Any]:
        """See asyncio."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        """Asyncio's debug mode is off."""
        return False

    def is_running(self) -> bool:
        """It runs whenever the scheduler does."""
        return True

    def is_closed(self) -> bool:
        """It is never closed."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep what asyncio reports, for the run's log."""
        self.unhandled_errors.append(context)
