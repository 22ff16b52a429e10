"""Bans brought to all who go by them: the list as the module sees it, the backends, and the clients who stand there."""

from __future__ import annotations

from stoatgw.clock import Clock
from stoatgw.controller.controller import Controller
from stoatgw.controller.messages import EvacuateServer
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.suspension.overrides import EndpointOverrides, Suspensions, SuspensionSource
from stoatgw.telemetry.log import EventLog

EVACUATION_DURATION_US = (
    2_000_000  # a server taken out is left over so long: well before a restart, and no herd elsewhere
)


class SuspensionApplier:
    def __init__(
        self, overlay: EndpointOverrides, director: DiscoveryClient, owner: Controller, clock: Clock, log: EventLog
    ) -> None:
        self.overrides, self._director, self._owner, self._clock, self._log = overlay, director, owner, clock, log

    def apply(self, bans: Suspensions, source: SuspensionSource, over_us: int = EVACUATION_DURATION_US) -> None:
        """What a source has out from now on; who stands on one newly out is moved within `over_us`."""
        out, back = self.overrides.replace(bans, self._clock.now_us(), source)
        for name in out:
            self._log.event("server_suspended", backend=name)
            self._owner.post(EvacuateServer(name, True, over_us))
        for name in back:
            self._log.event("server_resumed", backend=name)
            self._owner.post(EvacuateServer(name, False))
        self._director.publisher.republish([*out, *back])
