"""Which servers this proxy is to check, and when. Pure; times are its own monotonic microseconds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.membership.rendezvous import assign


class HealthCheckAssignment:
    """The servers ranked over the members, and when each was last checked.

    Attributes:
        assignees: The member that each server is assigned to.
    """

    def __init__(self, identity: str, config: SharedHealthChecksConfig) -> None:
        self._identity = identity
        self._interval_us = config.check_interval_ms * 1000
        self._takeover_delay_us = config.takeover_delay_ms * 1000
        self._servers: tuple[str, ...] = ()
        self._members: tuple[str, ...] = ()
        self._ranked_members: dict[str, list[str]] = {}
        self._own_rank: dict[str, int] = {}
        self._last_check_us: dict[str, int] = {}  # by any member, as far as is known here
        self._last_own_check_us: dict[str, int] = {}
        self._taken_over: set[str] = set()
        self.assignees: Mapping[str, str] = {}

    def update(self, servers: Iterable[str], members: Iterable[str], now_us: int) -> None:
        """Assign these servers to these members; does nothing where both are as before."""
        new_servers = tuple(sorted(servers))
        new_members = tuple(sorted(members))
        if (new_servers, new_members) == (self._servers, self._members):
            return
        self._servers = new_servers
        self._members = new_members
        self._ranked_members = assign(new_servers, dict.fromkeys(new_members, 1.0))
        self._own_rank = {name: self._find_own_rank(ranked) for name, ranked in self._ranked_members.items()}
        self.assignees = {name: ranked[0] for name, ranked in self._ranked_members.items() if ranked}
        for times in (self._last_check_us, self._last_own_check_us):
            for name in times.keys() - self._ranked_members.keys():
                del times[name]
        self._taken_over &= self._ranked_members.keys()
        for name in self._ranked_members:
            self._last_check_us.setdefault(name, now_us)  # a new server is its assignee's to begin with

    def _find_own_rank(self, ranked: list[str]) -> int:
        return ranked.index(self._identity) if self._identity in ranked else len(ranked)

    def reset_ages(self, now_us: int) -> None:
        """Nothing was received for long, by this proxy's own fault: what it knows proves no other member's failure."""
        self._last_check_us = dict.fromkeys(self._last_check_us, now_us)
        self._taken_over.clear()

    def record_check(self, server: str, at_us: int, member: str) -> None:
        """Another member checked a server then, or later; if it ranks before this proxy, a takeover ends."""
        if server not in self._own_rank:
            return
        self._last_check_us[server] = max(self._last_check_us[server], at_us)
        if member in self._ranked_members[server][: self._own_rank[server]]:
            self._taken_over.discard(server)

    def select_due(self, now_us: int, *, is_receiving: bool) -> list[str]:
        """The servers to check now; each counts as checked by this proxy.

        Args:
            now_us: The time.
            is_receiving: Whether the others' results arrive. A proxy that is cut off takes nothing over: all others
                would look failed to it.
        """
        due = []
        for name, rank in self._own_rank.items():
            if now_us - self._last_own_check_us.get(name, -self._interval_us) < self._interval_us:
                continue
            if rank > 0 and not self._takes_over(name, rank, now_us, is_receiving=is_receiving):
                continue
            self._last_own_check_us[name] = now_us
            self._last_check_us[name] = now_us
            due.append(name)
        return due

    def _takes_over(self, name: str, rank: int, now_us: int, *, is_receiving: bool) -> bool:
        """Whether another's server is this proxy's to check, since nobody before it has done so for long."""
        if not is_receiving:
            return False
        if name in self._taken_over:
            return True
        if now_us - self._last_check_us[name] < rank * self._takeover_delay_us:
            return False
        self._taken_over.add(name)
        return True
