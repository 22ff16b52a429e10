"""What the maintenance controller needs of the proxy that it runs in."""

from __future__ import annotations

from typing import Protocol

from stoatgw.maintenance.rollout_planner import MachineStatus


class ProxyActions(Protocol):
    """What the maintenance controller does to its own proxy, and observes through it."""

    def set_suspended_servers(self, servers: dict[str, int]) -> None:
        """Take exactly these session servers out, each since a Unix time in microseconds."""

    def start_drain(self) -> None:
        """Drain this proxy."""

    def cancel_drain(self) -> None:
        """Serve again."""

    def count_connections(self, server: str) -> int:
        """Connections of this proxy to a session server, established or being set up."""

    def count_clients(self) -> int:
        """Established sessions of this proxy."""

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """The session servers as discovery lists them; empty before its first list."""
