"""Backends: the session servers that the list has named, and where they are."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stoatgw.decisions.interface import Endpoint, Lifecycle

DRAIN_GRACE_MARGIN_US = 100_000  # a first byte leaves so long before the drain grace ends, at the latest


@dataclass(slots=True, eq=False)
class Backend:
    name: str
    host: str
    port: int
    draining_since_us: int | None = None  # when this proxy was told that it drains or is gone

    @property
    def address(self) -> tuple[bytes, int]:
        """For connecting: given as text, a host goes through the idna codec each time, a quarter of a connect."""
        return self.host.encode(), self.port

    def accepts_new_sessions(self, now_us: int, grace_us: int) -> bool:
        return self.draining_since_us is None or now_us < self.draining_since_us + grace_us - DRAIN_GRACE_MARGIN_US


class BackendRegistry:
    """All backends by name. One that is gone is kept: connections may stand on it still."""

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}

    def get(self, name: str) -> Backend | None:
        return self._backends.get(name)

    @property
    def has_endpoints(self) -> bool:
        """Whether any was ever listed: before that nothing can be served."""
        return bool(self._backends)

    def update(self, rows: Iterable[tuple[Endpoint, str, int]], whole: bool, now_us: int) -> list[Backend]:
        """Take news of the list; gives the backends that are leaving since."""
        left: list[Backend] = []
        seen = set()
        for entry, host, port in rows:
            seen.add(entry.name)
            backend = self._backends.setdefault(entry.name, Backend(entry.name, host, port))
            backend.host, backend.port = host, port
            if entry.lifecycle is Lifecycle.ACTIVE:
                backend.draining_since_us = None
            elif backend.draining_since_us is None:
                backend.draining_since_us = now_us
                left.append(backend)
        if whole:
            for backend in self._backends.values():
                if backend.name not in seen and backend.draining_since_us is None:
                    backend.draining_since_us = now_us
                    left.append(backend)
        return left
