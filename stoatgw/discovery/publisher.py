"""The endpoint list as discovery sent it, published to the backends and the controller."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from stoatgw.backends.backend import Backend, BackendRegistry, ListedEndpoint
from stoatgw.clock import Clock
from stoatgw.controller.messages import EndpointsUpdated, MessageQueue
from stoatgw.decisions.interface import Endpoint, EndpointUpdate, EndpointUpdateKind, Lifecycle
from stoatgw.discovery.endpoint_list import EndpointListPage
from stoatgw.telemetry.log import EventLog


def _without_override(endpoint: Endpoint) -> Endpoint:
    return endpoint


class EndpointPublisher:
    """Holds the endpoints without overrides, and publishes them with the overrides applied."""

    def __init__(
        self,
        backends: BackendRegistry,
        queue: MessageQueue,
        clock: Clock,
        log: EventLog,
        *,
        on_draining: Callable[[Backend], None],
        override: Callable[[Endpoint], Endpoint] = _without_override,
    ) -> None:
        """Start with an empty list.

        Args:
            backends: Updated before the controller is notified.
            queue: The controller's queue, on which updates are posted.
            clock: The time source for updates.
            log: Receives an event for each update of the list.
            on_draining: Called with each backend that began to drain or was removed.
            override: Returns an endpoint with the operators' overrides applied.
        """
        self._backends = backends
        self._queue = queue
        self._clock = clock
        self._log = log
        self._on_draining = on_draining
        self._override = override
        self._listed: dict[str, ListedEndpoint] = {}
        self.version: int | None = None
        """The current version; None if a full snapshot has to be requested."""
        self.first_update_us: int | None = None
        """When the first update was received from discovery itself; a cached copy does not count."""

    @property
    def endpoint_count(self) -> int:
        """The number of session servers in the list."""
        return len(self._listed)

    def has_endpoint(self, name: str) -> bool:
        """Return whether the list contains a session server of that name."""
        return name in self._listed

    def endpoints(self) -> list[Endpoint]:
        """Return the list as discovery sent it, without overrides."""
        return [listed.endpoint for listed in self._listed.values()]

    def apply(self, page: EndpointListPage, kind: EndpointUpdateKind) -> None:
        """Apply a page to the list and publish its entries."""
        is_snapshot = kind is not EndpointUpdateKind.DELTA
        if is_snapshot:
            self._listed = {}
        for listed in page.entries:
            name = listed.endpoint.name
            if listed.endpoint.lifecycle is Lifecycle.REMOVED:
                self._listed.pop(name, None)
            else:
                self._listed[name] = listed
        self.version = page.version
        if kind is not EndpointUpdateKind.CACHED and self.first_update_us is None:
            self.first_update_us = self._clock.now_us()
        if page.entries or is_snapshot:
            self._log.event("endpoint_list_updated", kind=kind.value, version=page.version, entries=len(page.entries))
            self._publish(page.entries, kind)

    def publish_all(self) -> None:
        """Post the full list to the controller again."""
        endpoints = tuple(self._override(listed.endpoint) for listed in self._listed.values())
        self._post(EndpointUpdateKind.SNAPSHOT, endpoints)

    def republish(self, names: Iterable[str]) -> None:
        """Publish these endpoints again, as their overrides have changed."""
        changed = [self._listed[name] for name in names if name in self._listed]
        if changed:
            self._publish(changed, EndpointUpdateKind.DELTA)

    def _publish(self, entries: Sequence[ListedEndpoint], kind: EndpointUpdateKind) -> None:
        overridden = [ListedEndpoint(self._override(each.endpoint), each.host, each.port) for each in entries]
        is_snapshot = kind is not EndpointUpdateKind.DELTA
        for backend in self._backends.update(overridden, is_snapshot=is_snapshot, now_us=self._clock.now_us()):
            self._on_draining(backend)
        self._post(kind, tuple(listed.endpoint for listed in overridden))

    def _post(self, kind: EndpointUpdateKind, endpoints: tuple[Endpoint, ...]) -> None:
        self._queue.post(EndpointsUpdated(EndpointUpdate(kind, self.version or 0, endpoints)))
