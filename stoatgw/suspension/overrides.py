"""Suspensions applied to discovery's endpoint list. No IO: the caller passes the time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from stoatgw.decisions.interface import Endpoint, Lifecycle

Suspensions = Mapping[str, int]
"""Suspended session servers by name, each with the start of its suspension (microseconds of Unix time)."""


class SuspensionSource(Enum):
    """What suspended a server; one that both sources have suspended is resumed once neither suspends it."""

    OPERATOR = "operator"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True, slots=True)
class SuspensionChange:
    """The servers, by name, whose suspension began or ended."""

    suspended: list[str]
    resumed: list[str]


@dataclass(frozen=True, slots=True)
class PastSuspension:
    """A suspension that has ended (microseconds of Unix time)."""

    suspended_us: int
    resumed_us: int


class EndpointOverrides:
    """The suspensions of all sources, and their effect on an endpoint."""

    def __init__(self) -> None:
        self._by_source: dict[SuspensionSource, dict[str, int]] = {}
        self._suspensions: dict[str, int] = {}
        self._past: dict[str, PastSuspension] = {}

    @property
    def suspensions(self) -> Suspensions:
        """The suspensions of all sources combined; each server's suspension starts with the earliest source's."""
        return self._suspensions

    def suspensions_from(self, source: SuspensionSource) -> Suspensions:
        """Return the suspensions of one source."""
        return self._by_source.get(source, {})

    def replace(
        self, suspensions: Suspensions, now_us: int, source: SuspensionSource = SuspensionSource.OPERATOR
    ) -> SuspensionChange:
        """Replace the suspensions of a source; return which servers are thereby suspended or resumed."""
        self._by_source[source] = dict(suspensions)
        before = self._suspensions
        self._suspensions = self._merge_sources()
        change = SuspensionChange(
            suspended=sorted(self._suspensions.keys() - before.keys()),
            resumed=sorted(before.keys() - self._suspensions.keys()),
        )
        for server in change.suspended:
            self._past.pop(server, None)
        for server in change.resumed:
            self._past[server] = PastSuspension(before[server], now_us)
        return change

    def apply(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint of the list as the decisions have to see it."""
        if endpoint.name in self._suspensions:
            if endpoint.lifecycle is not Lifecycle.ACTIVE:
                return endpoint
            return replace(endpoint, lifecycle=Lifecycle.DRAINING)
        past = self._past.get(endpoint.name)
        if past is not None and endpoint.started_us < past.suspended_us:
            # Operators restart a server while it is suspended, and the endpoint list may report the restart late. Until
            # then the server counts as started when it was resumed, so that it is warmed up no faster than a server
            # that has just started.
            return replace(endpoint, started_us=past.resumed_us)
        return endpoint

    def _merge_sources(self) -> dict[str, int]:
        merged: dict[str, int] = {}
        for suspensions in self._by_source.values():
            for server, since_us in suspensions.items():
                merged[server] = min(since_us, merged.get(server, since_us))
        return merged
