"""Carries out the actions of the decision policy."""

from __future__ import annotations

from typing import Protocol


class BackendGateway(Protocol):
    """The way to the session servers and to discovery, for what the decisions ask of them."""

    def check_health(self, server: str) -> None:
        """Starts a health check; its end is posted as `HealthCheckCompleted`."""
        ...

    def close_idle(self, server: str) -> None:
        """Closes the idle health check connection to a server, if there is one."""
        ...

    def fetch_endpoints(self) -> None:
        """Has the full endpoint list posted as `EndpointsUpdated`."""
        ...
