"""Request ids that are in use or were used recently."""

from __future__ import annotations

from collections import deque

MAX_ENDED_IDS = 16_384


class RecentIds:
    """The ids of open requests, and of those that ended recently.

    Every connection has to use a new id, so a request with an id that was seen before is not forwarded.
    """

    def __init__(self, max_ended: int = MAX_ENDED_IDS) -> None:
        self._max_ended = max_ended
        self._open: set[str] = set()
        self._ended: set[str] = set()
        self._ended_in_order: deque[str] = deque()

    def register(self, request_id: str) -> bool:
        """Mark an id as open; return False, and change nothing, if it is already known."""
        if request_id in self._open or request_id in self._ended:
            return False
        self._open.add(request_id)
        return True

    def mark_ended(self, request_id: str) -> None:
        """Mark an open id as ended; above the limit, the id that ended longest ago is forgotten."""
        self._open.discard(request_id)
        self._ended.add(request_id)
        self._ended_in_order.append(request_id)
        if len(self._ended_in_order) > self._max_ended:
            self._ended.discard(self._ended_in_order.popleft())
