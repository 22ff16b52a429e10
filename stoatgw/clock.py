"""The one clock of the program."""

from __future__ import annotations

import time


class Clock:
    """Unix time, read once at the start and advanced by the monotonic clock.

    Steps of the system's clock must neither cut an attempt short nor age a server.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Returns the time in microseconds since the Unix epoch; it never goes back."""
        return (time.monotonic_ns() + self._offset_ns) // 1000
