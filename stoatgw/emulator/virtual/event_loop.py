"""Virtual time: one heap of things due, and an asyncio loop for each process that lives in it.

Order at one microsecond: first all that is ready, in the order in which it became ready; then what is due,
by (tie, order of asking). `tie` is 0, so what was asked for first runs first; with a `shuffle` generator it is
drawn, so that tests see every order that a real machine could show.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

import numpy as np

Action = Callable[[], None]


class VirtualScheduler:
    """The virtual clock and all that waits for it."""

    def __init__(self, start_us: int, shuffle: np.random.Generator | None = None) -> None:
        self._now_us = start_us
        self._heap: list[tuple[int, int, int, Action]] = []
        self._ready: deque[Action] = deque()
        self._asked = 0
        self._shuffle = shuffle
        self.executed_steps = 0

    def now_us(self) -> int:
        return self._now_us

    def call_at(self, time_us: int, action: Action) -> None:
        """Run `action` at a time; one in the past runs now, after what is ready."""
        self._asked += 1
        tie = int(self._shuffle.integers(1 << 30)) if self._shuffle is not None else 0
        heapq.heappush(self._heap, (max(time_us, self._now_us), tie, self._asked, action))

    def call_soon(self, action: Action) -> None:
        self._ready.append(action)

    def run_until(self, until_us: int) -> None:
        """Run all that is due up to a time, and move the clock there."""
        heap, ready = self._heap, self._ready
        while True:
            while ready:
                self.executed_steps += 1
                ready.popleft()()
            if not heap or heap[0][0] > until_us:
                break
            time_us, _, _, action = heapq.heappop(heap)
            self._now_us = time_us
            self.executed_steps += 1
            action()
        self._now_us = max(self._now_us, until_us)


class _Timer(asyncio.TimerHandle):
    """A timer of a `ProcessLoop`; cancelled ones are passed over when due."""


class ProcessEventLoop(asyncio.AbstractEventLoop):
    """The event loop of one modelled process: it can be frozen, thawed and killed.

    Only what the owner of the decisions needs is there: tasks, futures, `call_soon`, `call_later`.
    """

    def __init__(self, kernel: VirtualScheduler) -> None:
        self._kernel = kernel
        self._frozen: list[Action] | None = None
        self._killed = False
        self.unhandled_errors: list[dict[str, Any]] = []

    # The process's life.

    def freeze(self) -> None:
        if self._frozen is None:
            self._frozen = []

    def thaw(self) -> None:
        """Everything that came due meanwhile runs now, in its order."""
        waiting, self._frozen = self._frozen or [], None
        for action in waiting:
            self._kernel.call_soon(action)

    def kill(self) -> None:
        self._killed, self._frozen = True, None

    @property
    def is_frozen(self) -> bool:
        return self._frozen is not None

    @property
    def is_killed(self) -> bool:
        return self._killed

    def deliver(self, action: Action) -> None:
        """Run code of this process now; kept while frozen, dropped once killed."""
        if self._killed:
            return
        if self._frozen is not None:
            self._frozen.append(lambda: self.deliver(action))
            return
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            action()
        finally:
            asyncio._set_running_loop(before)

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            self.deliver(handle._run)

    # asyncio's side.

    def time(self) -> float:
        return self._kernel.now_us() / 1e6

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context or contextvars.copy_context())
        self._kernel.call_soon(lambda: self._run_handle(handle))
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        due_us = self._kernel.now_us() + max(0, round(delay * 1e6))
        handle = _Timer(due_us / 1e6, callback, args, self, context or contextvars.copy_context())
        self._kernel.call_at(due_us, lambda: self._run_handle(handle))
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Any = None) -> asyncio.Task[Any]:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.unhandled_errors.append(context)
