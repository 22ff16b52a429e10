"""Who may hold descriptors: those that wait with nothing said make room for those that ask."""

from __future__ import annotations

from typing import Protocol

DESCRIPTORS_KEPT = 64  # for the listener, discovery, probes, the log, and sockets about to be closed
WAITING_PART = 3  # connections that have not asked hold one in so many descriptors at most
REQUEST_HOLDS = 2  # descriptors of a taken request: its client and its backend
LINGER_MOST = 24  # of those kept: connections turned away whose request may still be on its way


class Waiting(Protocol):
    """A connection that has not asked yet."""

    def idle(self) -> bool: ...

    def shed(self) -> None: ...


class DescriptorLimiter:
    """Two budgets: requests come first; connections that wait to ask share a part, and what is left of it.

    Guards against hundreds of connections that say nothing, or PING, or half a line, shutting out those that
    ask: a usual client asks as soon as it is connected, so whoever is idle longest goes first.
    """

    def __init__(self, sockets: int) -> None:
        self._most = max(4, sockets - DESCRIPTORS_KEPT)
        self._waiting: dict[Waiting, None] = {}  # oldest first
        self._taken = 0
        self._lingering = 0
        self.elsewhere = 0  # descriptors that another process of this proxy holds

    @property
    def held(self) -> int:
        return len(self._waiting) + REQUEST_HOLDS * self._taken

    def _over(self, more: int) -> bool:
        return self.held + self.elsewhere + more > self._most

    def admits(self) -> bool:
        """Whether one more may wait to ask."""
        while len(self._waiting) >= max(1, self._most // WAITING_PART):
            if not self._shed():
                return False
        return self.free(1)

    def free(self, more: int) -> bool:
        """Whether so many more descriptors may be held; sheds those idle longest for them."""
        while self._over(more):
            if not self._shed():
                return False
        return True

    def _shed(self) -> bool:
        oldest = next((each for each in self._waiting if each.idle()), None)
        if oldest is None:
            return False
        del self._waiting[oldest]
        oldest.shed()
        return True

    def linger(self) -> bool:
        """Whether one that is turned away may be waited for, until `lingered`."""
        if self._lingering >= LINGER_MOST:
            return False
        self._lingering += 1
        return True

    def lingered(self) -> None:
        self._lingering -= 1

    def waits(self, each: Waiting) -> None:
        self._waiting[each] = None

    def opened(self, each: Waiting) -> None:
        """It waits no longer."""
        self._waiting.pop(each, None)

    def take(self) -> bool:
        """Room for a request, until `leave`."""
        if not self.free(REQUEST_HOLDS):
            return False
        self._taken += 1
        return True

    def leave(self) -> None:
        self._taken -= 1
