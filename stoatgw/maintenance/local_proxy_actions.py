"""Carries out a maintenance in this proxy, with the same suspension and drain as the management API."""

from __future__ import annotations

from stoatgw.clients.context import ProxyContext
from stoatgw.controller.messages import CancelDrain
from stoatgw.decisions.interface import Lifecycle
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.maintenance.rollout_planner import MachineStatus
from stoatgw.management.operations import start_drain
from stoatgw.suspension.applier import EVACUATION_DURATION_US, SuspensionApplier
from stoatgw.suspension.overrides import SuspensionSource


class LocalProxyActions:
    """The `ProxyActions` of the process it runs in. Called from the maintenance controller's task."""

    def __init__(self, context: ProxyContext, publisher: EndpointPublisher, suspensions: SuspensionApplier) -> None:
        self._context = context
        self._publisher = publisher
        self._suspensions = suspensions

    def set_suspended_servers(self, servers: dict[str, int]) -> None:
        """Suspend exactly these session servers; their sessions are migrated within the drain grace at most."""
        if servers != self._suspensions.overrides.suspensions_from(SuspensionSource.MAINTENANCE):
            grace_us = self._context.deployment.settings.drain_grace_us
            self._suspensions.apply(servers, SuspensionSource.MAINTENANCE, min(EVACUATION_DURATION_US, grace_us))

    def start_drain(self) -> None:
        """Drain this proxy as the management API's operation does."""
        start_drain(self._context)

    def cancel_drain(self) -> None:
        """Resume serving, unless the proxy is shutting down."""
        if self._context.lifecycle.resume_serving():
            self._context.log.event("drain_cancelled")
            self._context.controller.post(CancelDrain())

    def count_connections(self, server: str) -> int:
        """Count this proxy's connections to a session server, established or being set up."""
        return self._context.controller.connections_to(server)

    def count_clients(self) -> int:
        """Count this proxy's established sessions."""
        return len(self._context.established_sessions)

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """Return the session servers that discovery lists; empty before the first list."""
        zones = self._context.deployment.zones
        return {
            entry.name: MachineStatus(
                zones[entry.zone] if 0 <= entry.zone < len(zones) else "",
                entry.lifecycle is Lifecycle.ACTIVE,
                entry.started_us // 1000,
            )
            for entry in self._publisher.endpoints()
        }
