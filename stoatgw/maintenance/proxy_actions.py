"""The interface between the maintenance controller and the proxy that it runs in."""

from __future__ import annotations

from typing import Protocol

from stoatgw.maintenance.rollout_planner import MachineStatus


class ProxyActions(Protocol):
    """The maintenance controller's actions on its proxy, and its view of the proxy's connections."""

    def set_suspended_servers(self, servers: dict[str, int]) -> None:
        """Suspend exactly these session servers; the values are since when, in Unix microseconds."""

    def start_drain(self) -> None:
        """Drain this proxy."""

    def cancel_drain(self) -> None:
        """Resume serving."""

    def count_connections(self, server: str) -> int:
        """Count this proxy's connections to a session server, established or being set up."""

    def count_clients(self) -> int:
        """Count this proxy's established sessions."""

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """Return the session servers that discovery lists; empty before the first list."""
