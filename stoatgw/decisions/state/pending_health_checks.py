"""The requests that wait for the results of health checks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request and the servers whose results it waits for."""

    request_id: str
    servers: set[str]


class PendingHealthChecks:
    """Requests that wait for health checks.

    A wait ends exactly once: when all results have arrived, when its timer expires, or when its client disconnects.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_token: dict[int, PendingRequest] = {}
        self._last_token = 0

    def begin(self, request_id: str, servers: set[str]) -> int:
        """Begin a wait; return the token, never 0, of the timer that ends it at the latest."""
        self._last_token += 1
        self._by_token[self._last_token] = PendingRequest(request_id, servers)
        return self._last_token

    def complete(self, server: str) -> list[str]:
        """Record a server's result; return the requests that now wait for no other server, in order of arrival."""
        for pending in self._by_token.values():
            pending.servers.discard(server)
        tokens = [token for token, pending in self._by_token.items() if not pending.servers]
        return [self._by_token.pop(token).request_id for token in tokens]

    def expire(self, token: int) -> list[str]:
        """End the wait of a timer; return its request, or nothing if that wait has ended already."""
        pending = self._by_token.pop(token, None)
        return [pending.request_id] if pending is not None else []

    def cancel(self, request_id: str) -> bool:
        """End the wait of a request; return whether it was waiting."""
        tokens = [token for token, pending in self._by_token.items() if pending.request_id == request_id]
        for token in tokens:
            del self._by_token[token]
        return bool(tokens)
