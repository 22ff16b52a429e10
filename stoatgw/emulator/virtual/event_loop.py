"""Virtual time: one heap of timers, and an asyncio event loop for each modelled process that runs in it.

Order at one microsecond: first all ready callbacks, in the order in which they became ready; then the timers due, by
(tie break, order of scheduling). The tie break is 0, so that timers run in the order of scheduling; with `shuffle_rng`
it is drawn, so that tests cover every order that can occur on a real machine.
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

MAX_TIE_BREAK = 1 << 30

_Ts = TypeVarTuple("_Ts")


class VirtualScheduler:
    """The virtual clock with its timers and ready callbacks.

    Attributes:
        executed_steps: The number of callbacks run.
    """

    def __init__(self, start_us: int, shuffle_rng: np.random.Generator | None = None) -> None:
        self._now_us = start_us
        self._timers: list[tuple[int, int, int, Action]] = []  # a heap by time, tie break and order of scheduling
        self._ready: deque[Action] = deque()
        self._scheduled_count = 0
        self._shuffle_rng = shuffle_rng
        self.executed_steps = 0

    def now_us(self) -> int:
        """Return the current time."""
        return self._now_us

    def call_at(self, time_us: int, callback: Action) -> None:
        """Run `callback` at a time; if that is in the past, now, after all ready callbacks."""
        self._scheduled_count += 1
        tie_break = int(self._shuffle_rng.integers(MAX_TIE_BREAK)) if self._shuffle_rng is not None else 0
        heapq.heappush(self._timers, (max(time_us, self._now_us), tie_break, self._scheduled_count, callback))

    def call_soon(self, callback: Action) -> None:
        """Run `callback` now, after all ready callbacks."""
        self._ready.append(callback)

    def run_until(self, until_us: int) -> None:
        """Run all callbacks due up to a time, and advance the clock to it."""
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
        """Return the current time."""
        return self._scheduler.now_us()


class ProcessEventLoop(asyncio.AbstractEventLoop):
    """The event loop of one modelled process, which can be frozen, thawed and killed.

    It implements only what the controller uses: tasks, futures, `call_soon`, `call_later` and `call_at`.

    Attributes:
        unhandled_errors: The contexts that asyncio passed to `call_exception_handler`.
    """

    def __init__(self, scheduler: VirtualScheduler) -> None:
        self._scheduler = scheduler
        self._deferred: list[Action] | None = None  # actions due while frozen; None if not frozen
        self._is_killed = False
        self.unhandled_errors: list[dict[str, Any]] = []

    # The state of the process.

    def freeze(self) -> None:
        """Defer all actions that become due, as SIGSTOP does."""
        if self._deferred is None:
            self._deferred = []

    def thaw(self) -> None:
        """Run all deferred actions, in the order in which they became due."""
        deferred = self._deferred or []
        self._deferred = None
        for action in deferred:
            self._scheduler.call_soon(action)

    def kill(self) -> None:
        """Drop all deferred and future actions."""
        self._is_killed = True
        self._deferred = None

    @property
    def is_frozen(self) -> bool:
        """Whether the process is frozen."""
        return self._deferred is not None

    @property
    def is_killed(self) -> bool:
        """Whether the process was killed."""
        return self._is_killed

    def deliver(self, action: Action) -> None:
        """Run an action in this process now; it is deferred while frozen, and dropped once killed."""
        if self._is_killed:
            return
        if self._deferred is not None:
            self._deferred.append(lambda: self.deliver(action))
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

    # The interface of `asyncio.AbstractEventLoop`.

    def time(self) -> float:
        """Return the current time in seconds."""
        return self._scheduler.now_us() / 1e6

    def call_soon(
        self, callback: Callable[[Unpack[_Ts]], object], *args: *_Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback as soon as possible, as in asyncio."""
        handle = asyncio.Handle(callback, args, self, context or contextvars.copy_context())
        self._scheduler.call_soon(lambda: self._run_handle(handle))
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[[Unpack[_Ts]], object], *args: *_Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback like `call_soon`: there are no threads in virtual time."""
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self,
        delay: float,
        callback: Callable[[Unpack[_Ts]], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in seconds, rounded to microseconds."""
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
        """Schedule a callback at a time in seconds, as in asyncio."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing when asyncio cancels a timer: a cancelled timer is skipped when due."""

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task[Any]:
        """Create a task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        """Return False: asyncio's debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Return True: the loop runs whenever the scheduler does."""
        return True

    def is_closed(self) -> bool:
        """Return False: the loop is never closed."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an error that asyncio reports, for the run's event log."""
        self.unhandled_errors.append(context)
