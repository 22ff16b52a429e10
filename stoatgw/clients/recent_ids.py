"""Request ids that are in use or were used lately."""

from __future__ import annotations

from collections import deque

MAX_ENDED_IDS = 16_384


class RecentIds:
    """The ids of open requests, and of those that ended lately.

    An id is new for every connection, so a request with one that was seen before is not forwarded.
    """

    def __init__(self, max_ended: int = MAX_ENDED_IDS) -> None:
        self._max_ended = max_ended
        self._open: set[str] = set()
        self._ended: set[str] = set()
        self._ended_in_order: deque[str] = deque()

    def register(self, request_id: str) -> bool:
        """Marks an id as open; returns False, and changes nothing, if it is known already."""
        if request_id in self._open or request_id in self._ended:
            return False
        self._open.add(request_id)
        return True

    def mark_ended(self, request_id: str) -> None:
        """Marks an open id as ended; the id that ended longest ago is forgotten if there are too many."""
        self._open.discard(request_id)
        self._ended.add(request_id)
        self._ended_in_order.append(request_id)
        if len(self._ended_in_order) > self._max_ended:
            self._ended.discard(self._ended_in_order.popleft())
