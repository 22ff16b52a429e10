"""The components that every proxy has, whatever its configuration."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass

from stoatgw.backends.backend import BackendRegistry
from stoatgw.backends.health_check import HealthChecker, LoadReportSchema
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.descriptor_limiter import DescriptorLimiter
from stoatgw.clients.listener import Listener
from stoatgw.clients.session_monitor import SessionMonitor
from stoatgw.clock import Clock
from stoatgw.config.deployment import Deployment
from stoatgw.controller.controller import Controller
from stoatgw.discovery.backoff import Backoff
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.discovery.endpoint_list import EndpointListParser
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.service.gateway import HealthCheckResults, ServiceGateway
from stoatgw.suspension.overrides import EndpointOverrides
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog, RateLimitedLog

# File descriptors reserved where a management address is configured: for its connections, its listener, and a few
# connections that are closing.
MANAGEMENT_DESCRIPTORS = 36


@dataclass(frozen=True, slots=True, eq=False)
class ProxyCore:
    """The components that every proxy has, and that the optional ones build on.

    Attributes:
        context: What the proxy's sessions share; holds the controller, the clock, the counters and the log.
        discovery: Maintains the endpoint list.
        overrides: The suspensions applied to that list.
        listener: Accepts client connections.
        session_monitor: Monitors the established sessions.
        gateway: The controller's access to the backends and to discovery.
        health_check_results: Forwards the results of health checks.
        state_folder: Folder of the files that outlive this process or are shared with sibling processes; None if
            there is no such folder.
    """

    context: ProxyContext
    discovery: DiscoveryClient
    overrides: EndpointOverrides
    listener: Listener
    session_monitor: SessionMonitor
    gateway: ServiceGateway
    health_check_results: HealthCheckResults
    state_folder: str | None

    def log_totals(self, event: str) -> None:
        """Log the open connections, the open requests and all counters as an event of the given name."""
        self.context.log.event(
            event,
            open_connections=self.listener.open_connections,
            open_requests=self.context.controller.open_requests,
            **self.context.counters.all(),
        )


def build_core(deployment: Deployment) -> ProxyCore:
    """Build the components and connect them, without opening a socket or starting a task."""
    settings = deployment.settings
    clock = Clock()
    log = EventLog(deployment.name)
    counters = Counters()
    backends = BackendRegistry()
    controller = Controller(settings, deployment.seed, clock, log, counters)
    load_reports = LoadReportSchema(settings.report_columns)
    health_check_results = HealthCheckResults(controller)
    health_checker = HealthChecker(
        health_check_results, clock, load_reports, deployment.dial_timeout_us, counters, RateLimitedLog(log, clock)
    )
    overrides = EndpointOverrides()
    publisher = EndpointPublisher(
        backends,
        controller,
        clock,
        log,
        on_draining=lambda backend: health_checker.close(backend.name),
        override=overrides.apply,
    )
    discovery = _build_discovery(deployment, publisher, log, counters)
    descriptor_limiter = DescriptorLimiter(_max_client_descriptors(deployment))
    context = ProxyContext(
        deployment, controller, backends, clock, load_reports.to_row, counters, log, descriptor_limiter
    )
    return ProxyCore(
        context=context,
        discovery=discovery,
        overrides=overrides,
        listener=Listener(context),
        session_monitor=SessionMonitor(context),
        gateway=ServiceGateway(backends, health_checker, discovery),
        health_check_results=health_check_results,
        state_folder=os.environ.get("TMPDIR"),
    )


def _build_discovery(
    deployment: Deployment, publisher: EndpointPublisher, log: EventLog, counters: Counters
) -> DiscoveryClient:
    settings = deployment.settings
    parser = EndpointListParser(deployment.zones, deployment.machine_types)
    backoff = Backoff(settings.balancers, random.Random(deployment.seed), pushed=not settings.must_subscribe)
    return DiscoveryClient(deployment.discovery_address, parser, publisher, backoff, log, counters)


def _max_client_descriptors(deployment: Deployment) -> int:
    if deployment.management_address is None:
        return deployment.max_sockets
    return deployment.max_sockets - MANAGEMENT_DESCRIPTORS
