"""Bans laid over discovery's list. Pure; the clock's time is handed in."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from enum import Enum

from stoatgw.decisions.interface import Endpoint, Lifecycle

Suspensions = Mapping[str, int]  # session servers out by hand, and since when (us of Unix time)


class SuspensionSource(Enum):
    """Who has a server suspended; one that both have suspended is used again once neither has."""

    OPERATOR = "operator"
    MAINTENANCE = "maintenance"


class EndpointOverrides:
    def __init__(self) -> None:
        self._by: dict[SuspensionSource, dict[str, int]] = {}
        self._bans: dict[str, int] = {}
        self._back: dict[str, tuple[int, int]] = {}  # called back: banned since, back since

    @property
    def suspensions(self) -> Suspensions:
        return self._bans

    def suspensions_from(self, source: SuspensionSource) -> Suspensions:
        return self._by.get(source, {})

    def replace(
        self, bans: Suspensions, now_us: int, source: SuspensionSource = SuspensionSource.OPERATOR
    ) -> tuple[list[str], list[str]]:
        """The bans of a source from now on; gives those newly out, and those called back."""
        self._by[source] = dict(bans)
        every = [pair for each in self._by.values() for pair in each.items()]
        bans = {name: min(since_us for each, since_us in every if each == name) for name, _ in every}
        out = sorted(bans.keys() - self._bans.keys())
        back = sorted(self._bans.keys() - bans.keys())
        for name in out:
            self._back.pop(name, None)
        for name in back:
            self._back[name] = self._bans[name], now_us
        self._bans = dict(bans)
        return out, back

    def apply(self, entry: Endpoint) -> Endpoint:
        """An entry of the list as the module is to see it."""
        name = entry.name
        if name in self._bans:
            return entry if entry.lifecycle is not Lifecycle.ACTIVE else replace(entry, lifecycle=Lifecycle.DRAINING)
        since_us, back_us = self._back.get(name, (0, 0))
        if back_us and entry.started_us < since_us:
            # Staff restart a server while it is out, and the list may tell of that late: until it does, the
            # server counts as started when it was called back, and is filled no faster than a cold one.
            return replace(entry, started_us=back_us)
        return entry
