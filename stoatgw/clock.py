"""The one clock: Unix time, read once, and moved on by the monotonic clock.

Steps of the system's clock must not cut an attempt short or age a server.
"""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1000
