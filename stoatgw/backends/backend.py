"""Backends: the session servers that the endpoint list has contained, and their addresses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stoatgw.decisions.interface import Endpoint, Lifecycle

DRAIN_GRACE_MARGIN_US = 100_000  # a request's first byte is sent at least this long before the drain grace ends


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An entry of the endpoint list: the endpoint as the decisions use it, and its address."""

    endpoint: Endpoint
    host: str
    port: int


@dataclass(slots=True, eq=False)
class Backend:
    """A session server that the endpoint list contains, or has contained since this process started."""

    name: str
    host: str
    port: int
    draining_since_us: int | None = None  # when this proxy was notified that it drains or was removed

    @property
    def address(self) -> tuple[bytes, int]:
        """The address to connect to.

        The host is bytes: as text it would go through the idna codec each time, a quarter of the cost of a connect.
        """
        return self.host.encode(), self.port

    def accepts_new_sessions(self, now_us: int, drain_grace_us: int) -> bool:
        """Return whether a request may still be sent: the backend is active, or its drain grace has not ended."""
        if self.draining_since_us is None:
            return True
        return now_us < self.draining_since_us + drain_grace_us - DRAIN_GRACE_MARGIN_US


class BackendRegistry:
    """All backends by name. A removed one is kept, as it may still have established sessions."""

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}

    def get(self, name: str) -> Backend | None:
        """Return the backend of that name, None if it was never listed."""
        return self._backends.get(name)

    @property
    def has_endpoints(self) -> bool:
        """Whether any endpoint was ever listed; until then no request can be served."""
        return bool(self._backends)

    def update(self, entries: Iterable[ListedEndpoint], *, is_snapshot: bool, now_us: int) -> list[Backend]:
        """Apply entries of the endpoint list; return the backends that are newly draining or removed.

        Args:
            entries: The entries, with overrides applied.
            is_snapshot: Whether they are the full list: a backend that is missing from it was removed.
            now_us: When the update was received.
        """
        newly_draining: list[Backend] = []
        listed_names = set()
        for listed in entries:
            endpoint = listed.endpoint
            listed_names.add(endpoint.name)
            backend = self._backends.setdefault(endpoint.name, Backend(endpoint.name, listed.host, listed.port))
            backend.host = listed.host
            backend.port = listed.port
            if endpoint.lifecycle is Lifecycle.ACTIVE:
                backend.draining_since_us = None
            elif backend.draining_since_us is None:
                backend.draining_since_us = now_us
                newly_draining.append(backend)
        if is_snapshot:
            for backend in self._backends.values():
                if backend.name not in listed_names and backend.draining_since_us is None:
                    backend.draining_since_us = now_us
                    newly_draining.append(backend)
        return newly_draining
