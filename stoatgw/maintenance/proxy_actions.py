"""What a maintenance does to this proxy, through the parts that staff's calls go through as well."""

from __future__ import annotations

from stoatgw.clients.context import ProxyContext
from stoatgw.config.deployment import Deployment
from stoatgw.controller.controller import Controller
from stoatgw.controller.messages import CancelDrain
from stoatgw.decisions.interface import Lifecycle
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.maintenance.rollout_planner import MachineStatus
from stoatgw.management.operations import start_drain
from stoatgw.suspension.applier import EVACUATION_DURATION_US, SuspensionApplier
from stoatgw.suspension.overrides import SuspensionSource
from stoatgw.telemetry.log import EventLog


class LocalProxyActions:
    def __init__(
        self,
        deployment: Deployment,
        context: ProxyContext,
        owner: Controller,
        director: DiscoveryClient,
        outs: SuspensionApplier,
        log: EventLog,
    ) -> None:
        self._deployment, self._context, self._owner = deployment, context, owner
        self._director, self._outs, self._log = director, outs, log

    def set_servers_out(self, servers: dict[str, int]) -> None:
        if servers != self._outs.overrides.suspensions_from(SuspensionSource.MAINTENANCE):
            self._outs.apply(
                servers,
                SuspensionSource.MAINTENANCE,
                min(EVACUATION_DURATION_US, self._deployment.settings.drain_grace_us),
            )

    def start_drain(self) -> None:
        start_drain(self._context)

    def cancel_drain(self) -> None:
        if self._context.lifecycle.resume_serving():
            self._log.event("drain_cancelled")
            self._owner.post(CancelDrain())

    def count_connections(self, server: str) -> int:
        return self._owner.connections_to(server)

    def count_clients(self) -> int:
        return len(self._context.established_sessions)

    def machine_statuses(self) -> dict[str, MachineStatus]:
        zones = self._deployment.zones
        return {
            entry.name: MachineStatus(
                zones[entry.zone] if 0 <= entry.zone < len(zones) else "",
                entry.lifecycle is Lifecycle.ACTIVE,
                entry.started_us // 1000,
            )
            for entry in self._director.publisher.endpoints()
        }
