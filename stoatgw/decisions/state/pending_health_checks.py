"""The requests that wait for health checks sent on their behalf."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request and the servers whose answers it waits for."""

    request_id: str
    servers: set[str]


class PendingHealthChecks:
    """Requests that wait for health checks. A wait ends once: by the answers, by its timer or by its client."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._by_token: dict[int, PendingRequest] = {}
        self._last_token = 0

    def begin(self, request_id: str, servers: set[str]) -> int:
        """Begin a wait; return the token of the timer that ends it at the latest, never 0."""
        self._last_token += 1
        self._by_token[self._last_token] = PendingRequest(request_id, servers)
        return self._last_token

    def complete(self, server: str) -> list[str]:
        """Take a server's answer; return the requests that waited for no other, in order of arrival."""
        for pending in self._by_token.values():
            pending.servers.discard(server)
        tokens = [token for token, pending in self._by_token.items() if not pending.servers]
        return [self._by_token.pop(token).request_id for token in tokens]

    def expire(self, token: int) -> list[str]:
        """End the wait of a timer; return its request if it waited until now."""
        pending = self._by_token.pop(token, None)
        return [pending.request_id] if pending is not None else []

    def cancel(self, request_id: str) -> bool:
        """End the wait of a request; return whether it waited until now."""
        tokens = [token for token, pending in self._by_token.items() if pending.request_id == request_id]
        for token in tokens:
            del self._by_token[token]
        return bool(tokens)
