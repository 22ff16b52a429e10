"""Whose turn each server is. Pure; times are this process's monotonic microseconds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.membership.rendezvous import assign


class HealthCheckAssignment:
    def __init__(self, me: str, told: SharedHealthChecksConfig) -> None:
        self._me = me
        self._period_us, self._stale_us = told.check_interval_ms * 1000, told.takeover_delay_ms * 1000
        self._seen: tuple[tuple[str, ...], tuple[str, ...]] = (), ()
        self._near: dict[str, list[str]] = {}
        self._places: dict[str, int] = {}
        self._heard_us: dict[str, int] = {}  # when the last probe that we know of was made
        self._mine_us: dict[str, int] = {}  # when we probed last
        self._stands_in: set[str] = set()
        self.holders: Mapping[str, str] = {}

    def update(self, servers: Iterable[str], members: Iterable[str], now_us: int) -> None:
        """The servers and members from now on; does nothing where they are as before."""
        seen = tuple(sorted(servers)), tuple(sorted(members))
        if seen == self._seen:
            return
        self._seen = seen
        found = assign(seen[0], dict.fromkeys(seen[1], 1.0))
        self._near = found
        self._places = {name: near.index(self._me) if self._me in near else len(near) for name, near in found.items()}
        self.holders = {name: near[0] for name, near in found.items() if near}
        for known in (self._heard_us, self._mine_us):
            for name in known.keys() - found.keys():
                del known[name]
        self._stands_in &= found.keys()
        for name in found:
            self._heard_us.setdefault(name, now_us)  # a new one is its holder's to begin with

    def reset_ages(self, now_us: int) -> None:
        """We have heard nothing for long, by our own fault: what we know tells of nobody else's death."""
        self._heard_us = dict.fromkeys(self._heard_us, now_us)
        self._stands_in.clear()

    def record_check(self, server: str, at_us: int, other: str) -> None:
        """Another probed it then, or later. If its turn comes before ours, our standing in has ended."""
        if server in self._places:
            self._heard_us[server] = max(self._heard_us[server], at_us)
            if other in self._near[server][: self._places[server]]:
                self._stands_in.discard(server)

    def select_due(self, now_us: int, *, hears: bool) -> list[str]:
        """The servers that we are to probe now; each counts as probed by it. `hears`: news of others reach us; one
        that is cut off would take all of them for dead."""
        turns = []
        for name, place in self._places.items():
            if now_us - self._mine_us.get(name, -self._period_us) < self._period_us:
                continue
            if place > 0 and (not hears or name not in self._stands_in):
                if not hears or now_us - self._heard_us[name] < place * self._stale_us:
                    continue
                self._stands_in.add(name)
            self._mine_us[name] = self._heard_us[name] = now_us
            turns.append(name)
        return turns
