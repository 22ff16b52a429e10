"""Message latency of each backend: the time from a client's line to the line that replies to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_REPLY_AGE_US = 1_000_000  # an older reply says nothing about its backend's current latency
MAX_PENDING_LINES = 64  # of one session; the oldest is dropped when another one is sent


@dataclass(frozen=True, slots=True)
class PendingLine:
    """A client's line that has no reply yet; of its content, which may be 4 KB long, only the hash is kept.

    Attributes:
        sent_us: When it was sent (microseconds of Unix time).
        line_hash: The hash of the line, by which its echo is recognized.
    """

    sent_us: int
    line_hash: int


@dataclass(slots=True, eq=False)
class MessageLatencyTracker:
    """The lines of one established session that have no reply yet, oldest first, and the last reply."""

    pending: deque[PendingLine] = field(default_factory=lambda: deque(maxlen=MAX_PENDING_LINES))
    last_reply_us: int = 0  # when the last reply was received
    last_answered_sent_us: int = 0  # when the line that it replies to was sent

    def record_sent(self, lines: Iterable[bytes], now_us: int) -> None:
        """Start to time these lines of the client."""
        newest = deque(lines, maxlen=MAX_PENDING_LINES)
        self.pending.extend(PendingLine(now_us, hash(line)) for line in newest)

    def record_reply(self, line: bytes, now_us: int) -> None:
        """Match a backend's line: one that echoes a pending line replies to that line, any other to all pending lines.

        Lines before the echoed one are dropped. If replies were matched in order, each reply after a line that is
        never answered would be timed from the line before its own, and a healthy backend would look seconds late
        permanently.
        """
        if not self.pending:
            return
        line_hash = hash(line)
        index = next((index for index, sent in enumerate(self.pending) if sent.line_hash == line_hash), None)
        self.last_reply_us = now_us
        if index is None:
            self.last_answered_sent_us = self.pending[0].sent_us
            self.pending.clear()
            return
        self.last_answered_sent_us = self.pending[index].sent_us
        for _ in range(index + 1):
            self.pending.popleft()

    def oldest_pending_age_us(self, now_us: int) -> int:
        """Return how long the oldest pending line has waited for a reply; 0 if no line is pending."""
        return now_us - self.pending[0].sent_us if self.pending else 0


def current_latency_ms(trackers: list[MessageLatencyTracker], now_us: int) -> float:
    """Return a backend's current latency: that of the last reply, or the age of the oldest pending line if longer.

    A pending line that is older than an answered one counts as lost, and says nothing about the current latency.
    """
    last_reply_us = now_us - MAX_REPLY_AGE_US
    last_latency_us = 0
    newest_answered_sent_us = 0
    for tracker in trackers:
        newest_answered_sent_us = max(newest_answered_sent_us, tracker.last_answered_sent_us)
        if tracker.last_reply_us > last_reply_us:
            last_reply_us = tracker.last_reply_us
            last_latency_us = tracker.last_reply_us - tracker.last_answered_sent_us
    oldest_sent_us = min(
        (sent.sent_us for tracker in trackers for sent in tracker.pending if sent.sent_us > newest_answered_sent_us),
        default=now_us,
    )
    return max(last_latency_us, now_us - oldest_sent_us) / 1000
