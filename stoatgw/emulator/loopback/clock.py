"""Real time for the world, and how late this driver was with what it had to do."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

LATE_US = 30_000  # an action this late counts as late
LATE_PART = 0.01  # and a run with more of them than this part is void
LATE_MOST_US = 400_000  # as is one with a single action this late


class RealTimeScheduler:
    """A Scheduler on the running loop: Unix time, read once and moved on by the monotonic clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset_ns = time.time_ns() - time.monotonic_ns()
        self._done = self._late = 0
        self._worst_us = 0
        self._closed = False
        self.failures: list[str] = []

    def now_us(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1000

    def call_at(self, time_us: int, action: Callable[[], None]) -> None:
        self._loop.call_later(max(0.0, (time_us - self.now_us()) / 1e6), self._run, time_us, action)

    def _run(self, due_us: int, action: Callable[[], None]) -> None:
        if self._closed:
            return
        late_us = self.now_us() - due_us
        self._done += 1
        self._late += late_us > LATE_US
        self._worst_us = max(self._worst_us, late_us)
        try:
            action()
        except Exception as error:  # a fault of the stand-ins must not pass for one of the proxy
            self.failures.append(repr(error))

    def start_measurement(self) -> None:
        """The run starts: what was late before does not count."""
        self._done = self._late = self._worst_us = 0

    def close(self) -> None:
        self._closed = True

    def invalid_reason(self) -> str:
        """Why the run does not count, or an empty text."""
        if self.failures:
            return f"a stand-in failed: {self.failures[0][:200]}"
        if self._worst_us > LATE_MOST_US:
            return f"the driver was {self._worst_us / 1000:.0f} ms late once"
        if self._late > LATE_PART * max(1, self._done):
            return f"the driver was over {LATE_US // 1000} ms late with {self._late} of {self._done} actions"
        return ""
