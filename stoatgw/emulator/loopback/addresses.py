"""The addresses of a loopback run. Each proxy reaches each server at an address of its own: so the caller is known."""

from __future__ import annotations

from dataclasses import dataclass

PORT = 18_000
SERVERS_PER_NETWORK = 250
PROXY_NETWORK = 255
DISCOVERY_NETWORK = 254

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class AddressPlan:
    """All addresses are in 127.BASE.0.0/16 and the networks after it, one for each proxy."""

    base_network: int

    def proxy(self, proxy: int) -> Address:
        """Where a proxy listens for clients."""
        return f"127.{self.base_network}.{PROXY_NETWORK}.{proxy + 1}", PORT

    def discovery(self, proxy: int) -> Address:
        """Where a proxy finds discovery."""
        return f"127.{self.base_network}.{DISCOVERY_NETWORK}.{proxy + 1}", PORT

    def server(self, server: int, proxy: int) -> Address:
        """Where a proxy reaches a server."""
        host = 1 + server % SERVERS_PER_NETWORK
        return f"127.{self.base_network + 1 + proxy}.{server // SERVERS_PER_NETWORK}.{host}", PORT
