"""Applies suspensions to the endpoint list, the backends, and the clients of a suspended server."""

from __future__ import annotations

from stoatgw.clock import Clock
from stoatgw.controller.messages import EvacuateServer, MessageQueue
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.suspension.overrides import EndpointOverrides, Suspensions, SuspensionSource
from stoatgw.telemetry.log import EventLog

# Short enough to end well before the server is restarted, but long enough that its clients do not all reach the other
# servers at the same time.
EVACUATION_DURATION_US = 2_000_000


class SuspensionApplier:
    """Applies the suspensions that a source has decided on."""

    def __init__(
        self,
        overrides: EndpointOverrides,
        publisher: EndpointPublisher,
        queue: MessageQueue,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare the applier.

        Args:
            overrides: Stores the suspensions of all sources.
            publisher: Publishes the servers whose suspension has changed.
            queue: The controller's queue, to which evacuations are posted.
            clock: Provides the time at which a server was resumed.
            log: Receives an event for each server suspended or resumed.
        """
        self.overrides = overrides
        self._publisher = publisher
        self._queue = queue
        self._clock = clock
        self._log = log

    def apply(
        self,
        suspensions: Suspensions,
        source: SuspensionSource,
        evacuation_duration_us: int = EVACUATION_DURATION_US,
    ) -> None:
        """Replace the suspensions of a source; migrate clients of newly suspended servers, spread over the duration."""
        change = self.overrides.replace(suspensions, self._clock.now_us(), source)
        for server in change.suspended:
            self._log.event("server_suspended", backend=server)
            self._queue.post(EvacuateServer(server, True, evacuation_duration_us))
        for server in change.resumed:
            self._log.event("server_resumed", backend=server)
            self._queue.post(EvacuateServer(server, False))
        self._publisher.republish([*change.suspended, *change.resumed])
