"""Which servers this proxy has to check, and when. Pure; times are microseconds of its monotonic clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.membership.rendezvous import assign


class HealthCheckAssignment:
    """The ranking of the members for each server, and when each server was last checked.

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
        self._last_check_us: dict[str, int] = {}  # by any member, as far as this proxy knows
        self._last_own_check_us: dict[str, int] = {}
        self._taken_over: set[str] = set()
        self.assignees: Mapping[str, str] = {}

    def update(self, servers: Iterable[str], members: Iterable[str], now_us: int) -> None:
        """Assign servers to members; do nothing if both are unchanged."""
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
            self._last_check_us.setdefault(name, now_us)  # give the assignee of a new server time to check it

    def _find_own_rank(self, ranked: list[str]) -> int:
        return ranked.index(self._identity) if self._identity in ranked else len(ranked)

    def reset_last_checks(self, now_us: int) -> None:
        """Restart all takeover delays, since results that this proxy missed do not prove that other members failed."""
        self._last_check_us = dict.fromkeys(self._last_check_us, now_us)
        self._taken_over.clear()

    def record_check(self, server: str, at_us: int, member: str) -> None:
        """Record that another member checked a server at this time or later.

        If that member ranks before this proxy, this proxy's takeover of the server ends.
        """
        if server not in self._own_rank:
            return
        self._last_check_us[server] = max(self._last_check_us[server], at_us)
        if member in self._ranked_members[server][: self._own_rank[server]]:
            self._taken_over.discard(server)

    def select_due(self, now_us: int, *, is_receiving: bool) -> list[str]:
        """Return the servers to check now, and record them as checked by this proxy.

        Args:
            now_us: The time.
            is_receiving: Whether other members' results are received. A partitioned proxy takes nothing over, since
                all other members would seem to have failed.
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
        """Return whether this proxy takes over a server, as no member that ranks before it has checked it in time."""
        if not is_receiving:
            return False
        if name in self._taken_over:
            return True
        if now_us - self._last_check_us[name] < rank * self._takeover_delay_us:
            return False
        self._taken_over.add(name)
        return True
