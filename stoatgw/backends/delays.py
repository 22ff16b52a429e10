"""How long messages take at each backend: a client's line, timed to the line that answers it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

RECENT_US = 1_000_000  # an answer tells of its backend for so long
PENDING_MOST = 64  # lines of one connection that are timed at once


@dataclass(slots=True, eq=False)
class Messages:
    """The lines of one standing connection that wait for an answer."""

    asked: deque[int] = field(default_factory=lambda: deque(maxlen=PENDING_MOST))
    answered_us: int = 0
    took_us: int = 0

    def ask(self, lines: int, now_us: int) -> None:
        self.asked.extend([now_us] * min(lines, PENDING_MOST))

    def answer(self, now_us: int) -> None:
        if self.asked:
            self.answered_us, self.took_us = now_us, now_us - self.asked.popleft()

    def overdue_us(self, now_us: int) -> int:
        return now_us - self.asked[0] if self.asked else 0


def latest_ms(connections: Iterable[Messages], now_us: int) -> float:
    """A backend's message time now: that of the last answer, or the age of an older unanswered line."""
    latest, took, overdue = now_us - RECENT_US, 0, 0
    for messages in connections:
        if messages.answered_us > latest:
            latest, took = messages.answered_us, messages.took_us
        overdue = max(overdue, messages.overdue_us(now_us))
    return max(took, overdue) / 1000
