"""A limit on the file descriptors held for clients; idle connections are evicted in favour of requests."""

from __future__ import annotations

from typing import Protocol

RESERVED_DESCRIPTORS = 64  # for the listener, discovery, health checks, the log, and sockets that are being closed
IDLE_SHARE_DIVISOR = 3  # connections without a request hold at most 1 / IDLE_SHARE_DIVISOR of the descriptors
DESCRIPTORS_PER_REQUEST = 2  # the client's connection and the server's
MAX_LINGERING = 24  # reserved descriptors used for rejected connections whose request may still be in flight


class IdleConnection(Protocol):
    """A connection that has not sent a request yet."""

    def is_idle(self) -> bool:
        """Return whether all received data has been read, and contained no request."""
        ...

    def expire(self) -> None:
        """End the wait for a request."""
        ...


class DescriptorLimiter:
    """Two budgets: requests have priority, and connections without a request are limited to a share of the descriptors.

    Guards against hundreds of connections that send nothing, PING or a partial line shutting out clients that send
    requests: a usual client sends its request as soon as it is connected, so the longest idle connection is evicted.
    """

    def __init__(self, max_descriptors: int) -> None:
        self._max_descriptors = max(4, max_descriptors - RESERVED_DESCRIPTORS)
        self._idle_connections: dict[IdleConnection, None] = {}  # oldest first
        self._requests = 0
        self._lingering = 0
        self.held_by_siblings = 0  # descriptors held by other processes of this proxy

    @property
    def descriptors_held(self) -> int:
        """The number of descriptors that this process holds for clients and their servers."""
        return len(self._idle_connections) + DESCRIPTORS_PER_REQUEST * self._requests

    def admit_connection(self) -> bool:
        """Return whether one more connection may wait for its request; evicts idle ones if necessary."""
        while len(self._idle_connections) >= max(1, self._max_descriptors // IDLE_SHARE_DIVISOR):
            if not self._evict_oldest():
                return False
        return self.ensure_available(1)

    def ensure_available(self, count: int) -> bool:
        """Return whether `count` more descriptors may be held; evicts the longest idle connections if necessary."""
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
        """Evict every idle connection, as the process is about to end."""
        while self._evict_oldest():
            pass

    def add_idle(self, connection: IdleConnection) -> None:
        """Count a connection as waiting for its request until `remove_idle`."""
        self._idle_connections[connection] = None

    def remove_idle(self, connection: IdleConnection) -> None:
        """Stop counting a connection as waiting; idempotent."""
        self._idle_connections.pop(connection, None)

    def acquire_request(self) -> bool:
        """Reserve the descriptors of a request, until `release_request`; return False if there are too few."""
        if not self.ensure_available(DESCRIPTORS_PER_REQUEST):
            return False
        self._requests += 1
        return True

    def release_request(self) -> None:
        """Release what `acquire_request` reserved."""
        self._requests -= 1

    def acquire_linger(self) -> bool:
        """Return whether a rejected connection may stay open, for its peer to close it, until `release_linger`."""
        if self._lingering >= MAX_LINGERING:
            return False
        self._lingering += 1
        return True

    def release_linger(self) -> None:
        """Release what `acquire_linger` reserved."""
        self._lingering -= 1
