"""The clock and timers of the world model; the drivers implement them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Scheduler(Protocol):
    """Runs callbacks in virtual or in real time. All times are microseconds of the same clock."""

    def now_us(self) -> int:
        """Return the current time."""

    def call_at(self, time_us: int, callback: Callable[[], None]) -> None:
        """Run `callback` at `time_us`, or as soon as possible if that is in the past."""
