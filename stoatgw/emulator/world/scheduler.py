"""What the world model needs of time; the drivers implement it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Scheduler(Protocol):
    """A clock that runs callbacks, in virtual or in real time. Times are microseconds of one clock."""

    def now_us(self) -> int:
        """The current time."""

    def call_at(self, time_us: int, callback: Callable[[], None]) -> None:
        """Run `callback` at a time; one in the past runs as soon as possible."""
