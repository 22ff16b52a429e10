"""What the operators' calls do: see `management` for how they come in."""

from __future__ import annotations

from collections.abc import Callable
from typing import assert_never

from stoatgw.clients.context import ProxyContext
from stoatgw.controller.controller import Controller
from stoatgw.controller.messages import BeginDrain, CancelDrain
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.management.http import HttpResponse
from stoatgw.management.routes import Operation, OperationRequest
from stoatgw.suspension.service import SuspensionService
from stoatgw.telemetry.log import EventLog

# Newcomers stop 0.2 s after a PING is told no, which it is ten times a second; at 4 s nobody may be here.
DRAIN_NEWCOMERS_US, DRAIN_OVER_US, DRAIN_SERVE_US = 400_000, 2_000_000, 2_600_000


def start_drain(context: ProxyContext) -> None:
    """Drain the proxy: migrate all its clients. Does nothing while a drain or the shutdown is under way."""
    if context.lifecycle.begin_drain():
        context.log.event("drain_started", open_connections=len(context.established_sessions))
        context.controller.post(BeginDrain(DRAIN_NEWCOMERS_US, DRAIN_OVER_US, DRAIN_SERVE_US))


class Operations:
    def __init__(
        self,
        context: ProxyContext,
        owner: Controller,
        director: DiscoveryClient,
        keeper: SuspensionService,
        log: EventLog,
        accepts: Callable[[], bool],
    ) -> None:
        self._context, self._owner, self._director, self._keeper = context, owner, director, keeper
        self._log, self._accepts = log, accepts

    def execute(self, order: OperationRequest) -> HttpResponse:
        match order.operation:
            case Operation.READY:
                return self._ready()
            case Operation.METRICS:
                figures = self._context.metrics
                return HttpResponse(
                    200, figures.render(self._director.publisher.endpoint_count, len(self._owner.avoided_servers()))
                )
            case Operation.SUSPEND | Operation.RESUME:
                return self._change(order)
            case Operation.DRAIN:
                return self._drain()
            case Operation.ACTIVATE:
                return self._activate()
            case _:
                assert_never(order.operation)

    def _ready(self) -> HttpResponse:
        stage = self._context.lifecycle.state.value
        if not self._context.lifecycle.is_serving:
            return HttpResponse(503, f"no: {stage}\n")
        if not self._context.backends.has_endpoints:
            return HttpResponse(503, "no: no list of session servers yet\n")
        if not self._accepts():
            return HttpResponse(503, "no: another process takes the clients as yet\n")
        return HttpResponse(200, "yes: takes clients\n")

    def _change(self, order: OperationRequest) -> HttpResponse:
        name, keeper = order.server, self._keeper
        if not keeper.has_server(name):
            return HttpResponse(404, "no: there is no such session server\n")
        if order.operation is Operation.RESUME:
            why = keeper.resume(name)
            return (
                HttpResponse(500, f"no: still out, {why}\n")
                if why
                else HttpResponse(200, f"yes: {name} is used again\n")
            )
        why = keeper.suspend(name)
        # Out it is, but an operator who counts on it over a replaced process has to know.
        return (
            HttpResponse(500, f"no: out in this process alone, {why}\n")
            if why
            else HttpResponse(200, f"yes: {name} is out\n")
        )

    def _drain(self) -> HttpResponse:
        course = self._context.lifecycle
        start_drain(self._context)
        return HttpResponse(200, f"yes: {course.state.value}\n")

    def _activate(self) -> HttpResponse:
        was = self._context.lifecycle.is_serving
        if not self._context.lifecycle.resume_serving():
            return HttpResponse(409, "no: this process is stopping\n")
        if not was:
            self._log.event("drain_cancelled")
            self._owner.post(CancelDrain())
        return HttpResponse(200, "yes: serving\n")
