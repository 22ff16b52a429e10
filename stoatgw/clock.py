"""The clock that the whole program uses."""

from __future__ import annotations

import time


class Clock:
    """Unix time, read once at the start and advanced by the monotonic clock.

    Steps of the system clock must neither shorten an attempt's time limit nor change a server's age.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the time in microseconds since the Unix epoch; it never decreases."""
        return (time.monotonic_ns() + self._offset_ns) // 1000
