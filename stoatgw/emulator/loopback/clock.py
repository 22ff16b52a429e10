"""Real time for the world model, and how late the driver was with what it had to do."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

LATE_US = 30_000  # a callback this late counts as late
MAX_LATE_SHARE = 0.01  # a run with more late callbacks is void
MAX_LATENESS_US = 400_000  # as is one with a single callback this late
MAX_FAILURE_TEXT = 200


class RealTimeScheduler:
    """A Scheduler on the running loop: Unix time, read once and advanced by the monotonic clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset_ns = time.time_ns() - time.monotonic_ns()
        self._executed = 0
        self._late = 0
        self._max_lateness_us = 0
        self._is_closed = False
        self.failures: list[str] = []

    def now_us(self) -> int:
        """The current time."""
        return (time.monotonic_ns() + self._offset_ns) // 1000

    def call_at(self, time_us: int, callback: Callable[[], None]) -> None:
        """Run `callback` at a time; one in the past runs as soon as possible."""
        self._loop.call_later(max(0.0, (time_us - self.now_us()) / 1e6), self._run, time_us, callback)

    def _run(self, due_us: int, callback: Callable[[], None]) -> None:
        if self._is_closed:
            return
        lateness_us = self.now_us() - due_us
        self._executed += 1
        if lateness_us > LATE_US:
            self._late += 1
        self._max_lateness_us = max(self._max_lateness_us, lateness_us)
        try:
            callback()
        except Exception as error:  # a failure of the simulated parties must not pass for one of the proxy
            self.failures.append(repr(error))

    def start_measurement(self) -> None:
        """The run starts: what was late before does not count."""
        self._executed = 0
        self._late = 0
        self._max_lateness_us = 0

    def close(self) -> None:
        """Run no callback any more."""
        self._is_closed = True

    def invalid_reason(self) -> str:
        """Why the run is void, or an empty text."""
        if self.failures:
            return f"a stand-in failed: {self.failures[0][:MAX_FAILURE_TEXT]}"
        if self._max_lateness_us > MAX_LATENESS_US:
            return f"the driver was {self._max_lateness_us / 1000:.0f} ms late once"
        if self._late > MAX_LATE_SHARE * max(1, self._executed):
            return f"the driver was over {LATE_US // 1000} ms late with {self._late} of {self._executed} actions"
        return ""
