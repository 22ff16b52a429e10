"""When established sessions are migrated to other servers or proxies."""

from __future__ import annotations

from typing import Protocol

from stoatgw.decisions.interface import ServerEstimate


class MigrationPlanner(Protocol):
    """Plans migrations of established sessions, where the operators' file asks for rebalancing."""

    interval_us: int

    def plan(self, estimates: list[ServerEstimate], now_us: int) -> list[str]:
        """Returns the ids of the requests to migrate in this step, in order."""
        ...
