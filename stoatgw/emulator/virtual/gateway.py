"""A modelled proxy's access to its backends: health checks and the endpoint list."""

from __future__ import annotations

from functools import partial

from stoatgw.controller.messages import EndpointsUpdated, HealthCheckCompleted
from stoatgw.decisions.interface import AttemptStatus, EndpointUpdate, EndpointUpdateKind
from stoatgw.emulator.virtual.endpoints import to_endpoints
from stoatgw.emulator.virtual.proxy import VirtualProxy
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState

HEALTH_CHECK_TIMEOUT_US = 500_000
DIAL_TIMEOUT_US = HEALTH_CHECK_TIMEOUT_US // 2
# The field of the server's load report, by the report column of the settings.
REPORT_FIELDS = {"errors_per_s": "eps", "outstanding": "inflight", "utilization": "util", "x0": "x0"}


class VirtualGateway:
    """Implements the controller's `BackendGateway` on the world model."""

    def __init__(self, world: WorldState, proxy: VirtualProxy, counts: dict[str, int]) -> None:
        """Create the gateway of a proxy; `counts` are the counters of the run."""
        self._world = world
        self._proxy = proxy
        self._counts = counts

    def check_health(self, server: str) -> None:
        """Start a health check, unless one is in flight; its result is posted to the controller."""
        proxy = self._proxy
        world = self._world
        model = world.servers.get(server)
        if proxy.backends.get(server) is None or model is None or server in proxy.pending_health_checks:
            return
        proxy.pending_health_checks.add(server)
        self._counts["probes"] += 1
        now_us = world.scheduler.now_us()
        latency_us = world.one_way_latency_us(proxy.zone, model)
        if world.is_unreachable(proxy.zone, model):
            self._schedule_result(server, AttemptStatus.DIAL_FAILED, now_us, now_us + DIAL_TIMEOUT_US)
        elif model.lifecycle is ServerLifecycle.GONE:
            self._schedule_result(server, AttemptStatus.DIAL_FAILED, now_us, now_us + 2 * latency_us)
        else:
            world.scheduler.call_at(now_us + latency_us, partial(self._handle_at_server, model, now_us, latency_us))

    def _handle_at_server(self, server: ServerModel, sent_us: int, latency_us: int) -> None:
        """Handle the arrival of a health check at its server."""
        now_us = self._world.scheduler.now_us()
        is_unreachable = self._world.is_unreachable(self._proxy.zone, server)
        if server.lifecycle is ServerLifecycle.GONE or is_unreachable:
            self._schedule_result(server.name, AttemptStatus.DROPPED, sent_us, now_us + latency_us)
            return
        received_us = server.handle_health_check(now_us) + latency_us
        if received_us - sent_us > HEALTH_CHECK_TIMEOUT_US:
            self._schedule_result(server.name, AttemptStatus.EXPIRED, sent_us, sent_us + HEALTH_CHECK_TIMEOUT_US)
            return
        columns = self._proxy.settings.report_columns
        report = tuple(server.report.get(REPORT_FIELDS[column]) for column in columns)
        self._schedule_result(server.name, AttemptStatus.DELIVERED, sent_us, received_us, report)

    def _schedule_result(
        self, server: str, status: AttemptStatus, sent_us: int, received_us: int, report: tuple[float | None, ...] = ()
    ) -> None:
        """Schedule the posting of a result, at the time at which it arrives at the proxy."""
        result = HealthCheckCompleted(server, status, received_us - sent_us, report)
        self._world.scheduler.call_at(
            received_us, partial(self._proxy.loop.deliver, partial(self._post_result, result))
        )

    def _post_result(self, result: HealthCheckCompleted) -> None:
        self._proxy.pending_health_checks.discard(result.server)
        self._proxy.controller.post(result)

    def close_idle(self, server: str) -> None:
        """Do nothing: idle health check connections are not modelled."""

    def fetch_endpoints(self) -> None:
        """Post the full endpoint list that the proxy knows."""
        proxy = self._proxy
        endpoints = to_endpoints(self._world.discovery.known_endpoints[proxy.index].values())
        proxy.controller.post(EndpointsUpdated(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 0, endpoints)))
