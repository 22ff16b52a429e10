"""Real loopback sockets in virtual time: an event loop whose clock advances only while no socket is ready.

All peers run in one process, where loopback delivers bytes immediately: timers take no real time, and the results do
not depend on the machine's load.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from stoatgw.clock import Clock

T = TypeVar("T")
SETTLE_S = 0.0005  # real time within which data sent on loopback becomes readable


class _Selector(selectors.DefaultSelector):
    """Skips the timeout and advances the time by it, unless a file becomes ready within SETTLE_S."""

    now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if events or timeout == 0:
            return events
        events = super().select(SETTLE_S if timeout is not None else None)
        if not events and timeout is not None:
            self.now_s += max(timeout, 1e-6)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now_s


class VirtualClock(Clock):
    """A clock of the proxy that returns the event loop's time."""

    def now_us(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
