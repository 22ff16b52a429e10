"""What a maintenance does to this proxy, through the parts that staff's calls go through as well."""

from __future__ import annotations

from stoatgw.clients.context import ProxyContext
from stoatgw.config.deployment import Deployment
from stoatgw.decisions.interface import Lifecycle
from stoatgw.director.director import Director
from stoatgw.maintenance.steward import Machine
from stoatgw.operations import drain
from stoatgw.owner.messages import Activate
from stoatgw.owner.owner import Owner
from stoatgw.suspension.outs import VACATE_US, Outs
from stoatgw.suspension.overlay import PLANNED
from stoatgw.telemetry.log import EventLog


class ProxyHands:
    def __init__(
        self, deployment: Deployment, context: ProxyContext, owner: Owner, director: Director, outs: Outs, log: EventLog
    ) -> None:
        self._deployment, self._context, self._owner = deployment, context, owner
        self._director, self._outs, self._log = director, outs, log

    def take_out(self, servers: dict[str, int]) -> None:
        if servers != self._outs.overlay.bans_of(PLANNED):
            self._outs.take(servers, PLANNED, min(VACATE_US, self._deployment.settings.drain_grace_us))

    def drain(self) -> None:
        drain(self._context, self._owner, self._log)

    def activate(self) -> None:
        if self._context.course.activate():
            self._log.event("activate")
            self._owner.put(Activate())

    def holds(self, server: str) -> int:
        return self._owner.holds(server)

    def clients(self) -> int:
        return len(self._context.standing)

    def machines(self) -> dict[str, Machine]:
        zones = self._deployment.zones
        return {
            entry.server: Machine(
                zones[entry.zone] if 0 <= entry.zone < len(zones) else "",
                entry.lifecycle is Lifecycle.ON,
                entry.last_start_us // 1000,
            )
            for entry in self._director.entries()
        }
