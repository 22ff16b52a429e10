"""Real-time scheduler for the world model; it measures how late its callbacks run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

LATE_US = 30_000  # a callback that runs more than this after its due time counts as late
MAX_LATE_SHARE = 0.01  # a run with a larger share of late callbacks is void
MAX_LATENESS_US = 400_000  # a run with a single callback later than this is void
MAX_FAILURE_TEXT = 200


class RealTimeScheduler:
    """A Scheduler on an asyncio event loop.

    Its time is Unix time, read once and advanced by the monotonic clock.

    Attributes:
        failures: The exceptions that callbacks raised; any makes the run void.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset_ns = time.time_ns() - time.monotonic_ns()
        self._executed = 0
        self._late = 0
        self._max_lateness_us = 0
        self._is_closed = False
        self.failures: list[str] = []

    def now_us(self) -> int:
        """Return the current Unix time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // 1000

    def call_at(self, time_us: int, callback: Callable[[], None]) -> None:
        """Run `callback` at a time; if that has passed, as soon as possible."""
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
        except Exception as error:  # a fault of the simulation, which must not count as one of the proxy
            self.failures.append(repr(error))

    def start_measurement(self) -> None:
        """Begin to measure lateness; earlier callbacks, from before the run, no longer count."""
        self._executed = 0
        self._late = 0
        self._max_lateness_us = 0

    def close(self) -> None:
        """Drop all callbacks that have not run yet."""
        self._is_closed = True

    def invalid_reason(self) -> str:
        """Return why the run is void, or an empty text."""
        if self.failures:
            return f"a callback of the simulation failed: {self.failures[0][:MAX_FAILURE_TEXT]}"
        if self._max_lateness_us > MAX_LATENESS_US:
            return f"the driver ran a callback {self._max_lateness_us / 1000:.0f} ms late"
        if self._late > MAX_LATE_SHARE * max(1, self._executed):
            return f"the driver was over {LATE_US // 1000} ms late with {self._late} of {self._executed} callbacks"
        return ""
