"""Delivers the endpoint list to a modelled proxy, as the discovery client of a real one does."""

from __future__ import annotations

from collections.abc import Iterable

from stoatgw.backends.backend import ListedEndpoint
from stoatgw.controller.messages import EndpointsUpdated
from stoatgw.decisions.interface import Endpoint, EndpointUpdate, EndpointUpdateKind, Lifecycle
from stoatgw.emulator.virtual.proxy import VirtualProxy
from stoatgw.emulator.world.endpoint_publication import EndpointEntry
from stoatgw.emulator.world.world_state import WorldState

LIFECYCLES = {"SERVING": Lifecycle.ACTIVE, "DRAINING": Lifecycle.DRAINING, "DELETED": Lifecycle.REMOVED}


def to_endpoints(entries: Iterable[EndpointEntry]) -> tuple[Endpoint, ...]:
    """Convert entries of the world's endpoint list to endpoints of the decisions' interface."""
    return tuple(
        Endpoint(entry.server, LIFECYCLES[entry.lifecycle], entry.zone, 0, entry.server_kind, 1.0, entry.started_us)
        for entry in entries
    )


def deliver_endpoints(world: WorldState, proxy: VirtualProxy, entries: list[EndpointEntry], is_snapshot: bool) -> None:
    """Notify a proxy of endpoints; must run in its process."""
    endpoints = to_endpoints(entries)
    world.log_notified(proxy.index, entries)
    listed = [ListedEndpoint(endpoint, endpoint.name, 0) for endpoint in endpoints]
    proxy.backends.update(listed, is_snapshot=is_snapshot, now_us=world.scheduler.now_us())
    kind = EndpointUpdateKind.SNAPSHOT if is_snapshot else EndpointUpdateKind.DELTA
    proxy.controller.post(EndpointsUpdated(EndpointUpdate(kind, 0, endpoints)))
