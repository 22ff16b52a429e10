"""Addresses of a loopback run.

A server has a separate address for each proxy, so that it knows which proxy has connected.
"""

from __future__ import annotations

from dataclasses import dataclass

PORT = 18_000
SERVERS_PER_NETWORK = 250
PROXY_NETWORK = 255
DISCOVERY_NETWORK = 254

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class AddressPlan:
    """Assignment of loopback addresses.

    Proxies and discovery are in 127.BASE.0.0/16; the servers' addresses for proxy N are in 127.(BASE + 1 + N).0.0/16.

    Attributes:
        base_network: BASE, the second octet of the first network.
    """

    base_network: int

    def proxy(self, proxy: int) -> Address:
        """Return the address at which a proxy listens for clients."""
        return f"127.{self.base_network}.{PROXY_NETWORK}.{proxy + 1}", PORT

    def discovery(self, proxy: int) -> Address:
        """Return the address at which a proxy connects to discovery."""
        return f"127.{self.base_network}.{DISCOVERY_NETWORK}.{proxy + 1}", PORT

    def server(self, server: int, proxy: int) -> Address:
        """Return the address at which a proxy connects to a server."""
        host = 1 + server % SERVERS_PER_NETWORK
        return f"127.{self.base_network + 1 + proxy}.{server // SERVERS_PER_NETWORK}.{host}", PORT
