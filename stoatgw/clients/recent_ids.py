"""Request ids that are in use or were used recently."""

from __future__ import annotations

from collections import deque
from typing import Protocol

MAX_ENDED_IDS = 16_384


class SharedIds(Protocol):
    """The ids that all processes of this proxy have taken."""

    def claim(self, request_id: str) -> bool:
        """Take an id for this process; return False if another process has taken it before."""
        ...


class BoundedIds:
    """A set of ids that forgets the one added first once it holds too many."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: set[str] = set()
        self._in_order: deque[str] = deque()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def add(self, request_id: str) -> None:
        """Add an id; do nothing if it is contained."""
        if request_id in self._ids:
            return
        self._ids.add(request_id)
        self._in_order.append(request_id)
        if len(self._in_order) > self._max_ids:
            self._ids.discard(self._in_order.popleft())


class RecentIds:
    """The ids of open requests, and of those that ended recently.

    Every connection has to use a new id, so a request with an id that was seen before is not forwarded.
    """

    def __init__(self, max_ended: int = MAX_ENDED_IDS) -> None:
        self._open: set[str] = set()
        self._ended = BoundedIds(max_ended)
        self._shared: SharedIds | None = None

    def share(self, shared: SharedIds) -> None:
        """Take each id for all processes of this proxy from now on."""
        self._shared = shared

    def register(self, request_id: str) -> bool:
        """Mark an id as open; return False, and change nothing, if it is already known."""
        if request_id in self._open or request_id in self._ended:
            return False
        if self._shared is not None and not self._shared.claim(request_id):
            return False
        self._open.add(request_id)
        return True

    def mark_ended(self, request_id: str) -> None:
        """Mark an open id as ended; above the limit, the id that ended longest ago is forgotten."""
        self._open.discard(request_id)
        self._ended.add(request_id)
