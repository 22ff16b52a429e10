"""Who may hold descriptors: those that wait with nothing said make room for those that ask."""

from __future__ import annotations

from typing import Protocol

RESERVED_DESCRIPTORS = 64  # for the listener, discovery, probes, the log, and sockets about to be closed
IDLE_SHARE_DIVISOR = 3  # connections that have not asked hold one in so many descriptors at most
DESCRIPTORS_PER_REQUEST = 2  # descriptors of a taken request: its client and its backend
MAX_LINGERING = 24  # of those kept: connections turned away whose request may still be on its way


class IdleConnection(Protocol):
    """A connection that has not asked yet."""

    def is_idle(self) -> bool: ...

    def expire(self) -> None: ...


class DescriptorLimiter:
    """Two budgets: requests come first; connections that wait to ask share a part, and what is left of it.

    Guards against hundreds of connections that say nothing, or PING, or half a line, shutting out those that
    ask: a usual client asks as soon as it is connected, so whoever is idle longest goes first.
    """

    def __init__(self, sockets: int) -> None:
        self._most = max(4, sockets - RESERVED_DESCRIPTORS)
        self._idle_connections: dict[IdleConnection, None] = {}  # oldest first
        self._taken = 0
        self._lingering = 0
        self.held_by_siblings = 0  # descriptors that another process of this proxy holds

    @property
    def descriptors_held(self) -> int:
        return len(self._idle_connections) + DESCRIPTORS_PER_REQUEST * self._taken

    def _over(self, more: int) -> bool:
        return self.descriptors_held + self.held_by_siblings + more > self._most

    def admit_connection(self) -> bool:
        """Whether one more may wait to ask."""
        while len(self._idle_connections) >= max(1, self._most // IDLE_SHARE_DIVISOR):
            if not self._shed():
                return False
        return self.ensure_available(1)

    def ensure_available(self, more: int) -> bool:
        """Whether so many more descriptors may be held; sheds those idle longest for them."""
        while self._over(more):
            if not self._shed():
                return False
        return True

    def _shed(self) -> bool:
        oldest = next((each for each in self._idle_connections if each.is_idle()), None)
        if oldest is None:
            return False
        del self._idle_connections[oldest]
        oldest.expire()
        return True

    def acquire_linger(self) -> bool:
        """Whether one that is turned away may be waited for, until `lingered`."""
        if self._lingering >= MAX_LINGERING:
            return False
        self._lingering += 1
        return True

    def release_linger(self) -> None:
        self._lingering -= 1

    def add_idle(self, each: IdleConnection) -> None:
        self._idle_connections[each] = None

    def remove_idle(self, each: IdleConnection) -> None:
        """It waits no longer."""
        self._idle_connections.pop(each, None)

    def acquire_request(self) -> bool:
        """Room for a request, until `leave`."""
        if not self.ensure_available(DESCRIPTORS_PER_REQUEST):
            return False
        self._taken += 1
        return True

    def release_request(self) -> None:
        self._taken -= 1
