"""How long messages take at each backend: a client's line, timed to the line that answers it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

RECENT_US = 1_000_000  # an answer tells of its backend for so long
PENDING_MOST = 64  # lines of one connection that are timed at once


@dataclass(slots=True, eq=False)
class MessageLatencyTracker:
    """The lines of one standing connection that wait for an answer, oldest first."""

    pending: deque[tuple[int, bytes]] = field(default_factory=lambda: deque(maxlen=PENDING_MOST))
    last_reply_us: int = 0  # when the last answer came
    last_answered_us: int = 0  # when the line that it answers was sent

    def record_sent(self, lines: Iterable[bytes], now_us: int) -> None:
        self.pending.extend((now_us, line) for line in lines)

    def record_reply(self, line: bytes, now_us: int) -> None:
        """An answer that repeats a line is its answer; any other answers all that was asked so far."""
        if not self.pending:
            return
        # Guards against a line that is never answered: taken one for one, each later answer would be
        # timed from the line before its own, and a sound backend would look seconds late for good.
        place = next((place for place, (_, asked) in enumerate(self.pending) if asked == line), None)
        self.last_reply_us, self.last_answered_us = now_us, self.pending[place or 0][0]
        if place is None:
            self.pending.clear()
        else:
            for _ in range(place + 1):
                self.pending.popleft()

    def oldest_pending_us(self, now_us: int) -> int:
        return now_us - self.pending[0][0] if self.pending else 0


def current_latency_ms(connections: list[MessageLatencyTracker], now_us: int) -> float:
    """A backend's message time now: that of the last answer, or the age of an unanswered line.

    A line that was passed over, since a later one has its answer, tells nothing of now.
    """
    latest, took, newest = now_us - RECENT_US, 0, 0
    for messages in connections:
        newest = max(newest, messages.last_answered_us)
        if messages.last_reply_us > latest:
            latest, took = messages.last_reply_us, messages.last_reply_us - messages.last_answered_us
    waiting = [asked_us for messages in connections for asked_us, _ in messages.pending if asked_us > newest]
    return max(took, now_us - min(waiting, default=now_us)) / 1000
