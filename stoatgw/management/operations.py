"""Carries out the operators' operations; `listener` receives the requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import assert_never

from stoatgw.clients.context import ProxyContext
from stoatgw.controller.messages import BeginDrain, CancelDrain
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.management.http import HttpResponse
from stoatgw.management.routes import Operation, OperationRequest
from stoatgw.suspension.service import StillSuspendedError, SuspensionNotPersistedError, SuspensionService

# New clients stop being routed here 0.2 s after a PING is rejected, and PINGs are sent ten times a second. After 4 s no
# client may be left.
DRAIN_ACCEPT_WINDOW_US = 400_000
DRAIN_MIGRATION_WINDOW_US = 2_000_000
DRAIN_ADMISSION_WINDOW_US = 2_600_000


def start_drain(context: ProxyContext) -> None:
    """Drain the proxy by migrating all its clients; do nothing while a drain or the shutdown is in progress."""
    if context.lifecycle.begin_drain():
        context.log.event("drain_started", open_connections=len(context.established_sessions))
        context.controller.post(
            BeginDrain(DRAIN_ACCEPT_WINDOW_US, DRAIN_MIGRATION_WINDOW_US, DRAIN_ADMISSION_WINDOW_US)
        )


class Operations:
    """Carries out operations on the proxy's components; implements `ManagementApi`."""

    def __init__(
        self,
        context: ProxyContext,
        publisher: EndpointPublisher,
        suspensions: SuspensionService,
        accepts_connections: Callable[[], bool],
    ) -> None:
        """Prepare the operations.

        Args:
            context: What the proxy's sessions share; its lifecycle and metrics are read and changed here.
            publisher: Knows the current endpoint list.
            suspensions: Suspends and resumes session servers.
            accepts_connections: Returns whether this process, rather than a sibling process, accepts clients now.
        """
        self._context = context
        self._publisher = publisher
        self._suspensions = suspensions
        self._accepts_connections = accepts_connections

    def execute(self, request: OperationRequest) -> HttpResponse:
        """Carry out an operation; the response reports whether it took effect."""
        match request.operation:
            case Operation.READY:
                return self._report_readiness()
            case Operation.METRICS:
                return self._render_metrics()
            case Operation.SUSPEND | Operation.RESUME:
                return self._change_suspension(request)
            case Operation.DRAIN:
                return self._drain()
            case Operation.ACTIVATE:
                return self._activate()
            case _:
                assert_never(request.operation)

    def _report_readiness(self) -> HttpResponse:
        lifecycle = self._context.lifecycle
        if not lifecycle.is_serving:
            return HttpResponse(503, f"no: {lifecycle.state.value}\n")
        if not self._context.backends.has_endpoints:
            return HttpResponse(503, "no: no list of session servers yet\n")
        if not self._accepts_connections():
            return HttpResponse(503, "no: another process takes the clients as yet\n")
        return HttpResponse(200, "yes: takes clients\n")

    def _render_metrics(self) -> HttpResponse:
        avoided = len(self._context.controller.avoided_servers())
        return HttpResponse(200, self._context.metrics.render(self._publisher.endpoint_count, avoided))

    def _change_suspension(self, request: OperationRequest) -> HttpResponse:
        if not self._suspensions.has_server(request.server):
            return HttpResponse(404, "no: there is no such session server\n")
        if request.operation is Operation.RESUME:
            return self._resume(request.server)
        return self._suspend(request.server)

    def _suspend(self, server: str) -> HttpResponse:
        try:
            self._suspensions.suspend(server)
        except SuspensionNotPersistedError as error:
            # The server is suspended, but an operator who relies on that across a restart has to know.
            return HttpResponse(500, f"no: out in this process alone, {error}\n")
        return HttpResponse(200, f"yes: {server} is out\n")

    def _resume(self, server: str) -> HttpResponse:
        try:
            self._suspensions.resume(server)
        except StillSuspendedError as error:
            return HttpResponse(500, f"no: still out, {error}\n")
        return HttpResponse(200, f"yes: {server} is used again\n")

    def _drain(self) -> HttpResponse:
        start_drain(self._context)
        return HttpResponse(200, f"yes: {self._context.lifecycle.state.value}\n")

    def _activate(self) -> HttpResponse:
        was_serving = self._context.lifecycle.is_serving
        if not self._context.lifecycle.resume_serving():
            return HttpResponse(409, "no: this process is stopping\n")
        if not was_serving:
            self._context.log.event("drain_cancelled")
            self._context.controller.post(CancelDrain())
        return HttpResponse(200, "yes: serving\n")
