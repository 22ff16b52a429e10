"""Limits how many file descriptors clients hold; idle connections are evicted in favour of requests."""

from __future__ import annotations

from typing import Protocol

RESERVED_DESCRIPTORS = 64  # for the listener, discovery, health checks, the log, and sockets that are being closed
IDLE_SHARE_DIVISOR = 3  # connections without a request hold at most one in so many descriptors
DESCRIPTORS_PER_REQUEST = 2  # its client's connection and its server's
MAX_LINGERING = 24  # of the reserved ones: rejected connections whose request may still be on its way


class IdleConnection(Protocol):
    """A connection that has not sent a request yet."""

    def is_idle(self) -> bool:
        """Whether all that was received is read, and was no request."""
        ...

    def expire(self) -> None:
        """Ends the wait for a request."""
        ...


class DescriptorLimiter:
    """Two budgets: requests come first; connections without a request share a part of what is left.

    Guards against hundreds of connections that send nothing, or PING, or half a line, shutting out those that send
    requests: a usual client sends its request as soon as it is connected, so whoever is idle longest is evicted.
    """

    def __init__(self, max_descriptors: int) -> None:
        self._max_descriptors = max(4, max_descriptors - RESERVED_DESCRIPTORS)
        self._idle_connections: dict[IdleConnection, None] = {}  # oldest first
        self._requests = 0
        self._lingering = 0
        self.held_by_siblings = 0  # descriptors of other processes of this proxy

    @property
    def descriptors_held(self) -> int:
        """Descriptors that this process holds for clients and their servers."""
        return len(self._idle_connections) + DESCRIPTORS_PER_REQUEST * self._requests

    def admit_connection(self) -> bool:
        """Whether one more connection may wait for its request; evicts idle ones for it."""
        while len(self._idle_connections) >= max(1, self._max_descriptors // IDLE_SHARE_DIVISOR):
            if not self._evict_oldest():
                return False
        return self.ensure_available(1)

    def ensure_available(self, count: int) -> bool:
        """Whether so many more descriptors may be held; evicts those connections that are idle longest for them."""
        while self.descriptors_held + self.held_by_siblings + count > self._max_descriptors:
            if not self._evict_oldest():
                return False
        return True

    def _evict_oldest(self) -> bool:
        oldest = next((connection for connection in self._idle_connections if connection.is_idle()), None)
        if oldest is None:
            return False
        del self._idle_connections[oldest]
        oldest.expire()
        return True

    def evict_all(self) -> None:
        """Evicts every idle connection: the process is about to end."""
        while self._evict_oldest():
            pass

    def add_idle(self, connection: IdleConnection) -> None:
        """Counts a connection that waits for its request, until `remove_idle`."""
        self._idle_connections[connection] = None

    def remove_idle(self, connection: IdleConnection) -> None:
        """Counts a connection no longer as waiting; may be called again."""
        self._idle_connections.pop(connection, None)

    def acquire_request(self) -> bool:
        """Whether a request gets its descriptors, which it holds until `release_request`."""
        if not self.ensure_available(DESCRIPTORS_PER_REQUEST):
            return False
        self._requests += 1
        return True

    def release_request(self) -> None:
        """Gives back what `acquire_request` granted."""
        self._requests -= 1

    def acquire_linger(self) -> bool:
        """Whether a rejected connection may stay open for its peer to end it, until `release_linger`."""
        if self._lingering >= MAX_LINGERING:
            return False
        self._lingering += 1
        return True

    def release_linger(self) -> None:
        """Gives back what `acquire_linger` granted."""
        self._lingering -= 1
