"""The interface through which the world model acts on a driver, in virtual time or on real processes."""

from __future__ import annotations

from typing import Protocol

from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.server_model import HeldConnection, ServerModel


class WorldDriver(Protocol):
    """Applies the changes of the world model. All methods are called from the scheduler's callbacks."""

    def publish_endpoints(self, proxy: int, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        """Send a proxy changes of the endpoint list, or a full snapshot, from discovery."""

    def corrupt_endpoint_stream(self, proxy: int) -> None:
        """Send a proxy malformed data from discovery, and end its watch."""

    def on_server_added(self, server: ServerModel) -> None:
        """Handle the start of a server process."""

    def on_server_draining(self, server: ServerModel) -> None:
        """Handle the start of a server's drain: it migrates all its sessions."""

    def on_server_stopped(self, server: ServerModel) -> None:
        """Handle the end of a server process: its connections are reset."""

    def on_server_vanished(self, server: ServerModel) -> None:
        """Handle the loss of a server's machine: its connections stay open without traffic."""

    def on_connections_dropped(self, server: ServerModel, connections: list[HeldConnection]) -> None:
        """Close connections that a server drops because of its backlog."""

    def disconnect_clients(self, client_share: float, within_us: int) -> None:
        """Disconnect a share of the clients with sessions; each reconnects within `within_us`."""

    def restart_proxy(self, proxy: int) -> None:
        """Stop a proxy by SIGTERM, and restart it."""

    def kill_proxy(self, proxy: int, restart_delay_us: int) -> None:
        """Kill a proxy, and restart it after `restart_delay_us`."""

    def freeze_proxy(self, proxy: int, freeze_us: int) -> None:
        """Freeze a proxy's process by SIGSTOP for `freeze_us`."""

    def set_zones_partitioned(self, is_partitioned: bool) -> None:
        """Partition the network between zones, or restore it."""
