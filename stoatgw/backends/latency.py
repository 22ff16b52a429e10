"""How long messages take at each backend: a client's line, timed to the line that replies to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_REPLY_AGE_US = 1_000_000  # an older reply says nothing about its backend's latency now
MAX_PENDING_LINES = 64  # lines of one session that are timed at once


@dataclass(slots=True, eq=False)
class MessageLatencyTracker:
    """The lines of one established session that wait for a reply, oldest first."""

    pending: deque[tuple[int, bytes]] = field(default_factory=lambda: deque(maxlen=MAX_PENDING_LINES))
    last_reply_us: int = 0  # when the last reply came
    last_answered_us: int = 0  # when the line that it replies to was sent

    def record_sent(self, lines: Iterable[bytes], now_us: int) -> None:
        """Time these lines of the client from now on."""
        self.pending.extend((now_us, line) for line in lines)

    def record_reply(self, line: bytes, now_us: int) -> None:
        """Match a backend's line: one that repeats a line replies to it, any other to all that are pending.

        Lines before the one that is repeated are dropped: matched one for one, each reply after a line that is
        never answered would be timed from the line before its own, and a healthy backend would look seconds late
        for good.
        """
        if not self.pending:
            return
        index = next((index for index, (_, sent) in enumerate(self.pending) if sent == line), None)
        self.last_reply_us = now_us
        if index is None:
            self.last_answered_us = self.pending[0][0]
            self.pending.clear()
            return
        self.last_answered_us = self.pending[index][0]
        for _ in range(index + 1):
            self.pending.popleft()

    def oldest_pending_age_us(self, now_us: int) -> int:
        """Return for how long the oldest line has been waiting, 0 if none is."""
        return now_us - self.pending[0][0] if self.pending else 0


def current_latency_ms(trackers: list[MessageLatencyTracker], now_us: int) -> float:
    """Return a backend's latency now: that of the last reply, or the age of the oldest pending line if that is longer.

    A pending line older than one that was answered counts as lost, and says nothing about the latency now.
    """
    last_reply_us = now_us - MAX_REPLY_AGE_US
    last_latency_us = 0
    newest_answered_us = 0
    for tracker in trackers:
        newest_answered_us = max(newest_answered_us, tracker.last_answered_us)
        if tracker.last_reply_us > last_reply_us:
            last_reply_us = tracker.last_reply_us
            last_latency_us = tracker.last_reply_us - tracker.last_answered_us
    oldest_sent_us = min(
        (sent_us for tracker in trackers for sent_us, _ in tracker.pending if sent_us > newest_answered_us),
        default=now_us,
    )
    return max(last_latency_us, now_us - oldest_sent_us) / 1000
