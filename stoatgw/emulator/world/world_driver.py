"""What the world model asks of a driver, which makes events happen in virtual time or on real processes."""

from __future__ import annotations

from typing import Protocol

from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.server_model import HeldConnection, ServerModel


class WorldDriver(Protocol):
    """Carries out what happens to the world. All calls come from the scheduler's callbacks."""

    def publish_endpoints(self, proxy: int, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        """Discovery sends a proxy its changes, or a full snapshot."""

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        """Discovery sends a proxy unreadable data and ends its watch."""

    def on_server_added(self, server: ServerModel) -> None:
        """A server process has started."""

    def on_server_draining(self, server: ServerModel) -> None:
        """A server begins to drain: it migrates all its sessions."""

    def on_server_stopped(self, server: ServerModel) -> None:
        """A server process ended: its connections are reset."""

    def on_server_vanished(self, server: ServerModel) -> None:
        """A server's machine disappeared: its connections stay open and silent."""

    def on_connections_dropped(self, server: ServerModel, connections: list[HeldConnection]) -> None:
        """A server closes connections because of its backlog."""

    def disconnect_clients(self, client_share: float, within_us: int) -> None:
        """A share of the clients with sessions disconnects, and connects again within a time."""

    def restart_proxy(self, proxy: int) -> None:
        """Stop a proxy by SIGTERM and start it again."""

    def kill_proxy(self, proxy: int, restart_delay_us: int) -> None:
        """Kill a proxy and start it again after `restart_delay_us`."""

    def freeze_proxy(self, proxy: int, freeze_us: int) -> None:
        """Stop a proxy by SIGSTOP for a time."""

    def set_zones_partitioned(self, is_partitioned: bool) -> None:
        """Cut or restore the network between zones."""
