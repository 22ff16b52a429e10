"""A controller with the real balancer, and a gateway and request handlers that record their calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from stoatgw.clock import Clock
from stoatgw.controller.controller import Controller
from stoatgw.controller.messages import EndpointsUpdated, Message, RequestState
from stoatgw.decisions.interface import Endpoint, EndpointUpdate, EndpointUpdateKind, Request, Settings
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.balancer_harness import settings

REQUEST_TIMEOUT_US = 2_000_000


class RecordingGateway:
    """Records the calls to the backends."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def check_health(self, server: str) -> None:
        self.calls.append(("check_health", server))

    def close_idle(self, server: str) -> None:
        self.calls.append(("close_idle", server))

    def fetch_endpoints(self) -> None:
        self.calls.append("fetch_endpoints")


class RecordingHandler:
    """Records the calls to the client's side of a request."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def start_attempt(self, number: int, server: str, deadline_us: int) -> None:
        self.calls.append(("start_attempt", number, server))

    def cancel_attempt(self, number: int) -> None:
        self.calls.append("cancel_attempt")

    def reject(self, retry_after_us: int) -> None:
        self.calls.append(("reject", retry_after_us))

    def fail(self) -> None:
        self.calls.append("fail")

    def migrate(self) -> None:
        self.calls.append("migrate")


class ControllerHarness:
    """A started controller whose task runs only while messages are delivered. Requires a running event loop."""

    def __init__(self, config: Settings | None = None) -> None:
        self.clock = Clock()
        self.counters = Counters()
        self.gateway = RecordingGateway()
        self.controller = Controller(config or settings(), 7, self.clock, EventLog("test"), self.counters)
        self.controller.start(self.gateway)
        self._request_count = 0

    async def deliver(self, *messages: Message) -> None:
        """Post messages and let the controller handle them in one batch, with the messages posted before."""
        for message in messages:
            self.controller.post(message)
        task = asyncio.get_running_loop().create_task(self.controller.run())
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    async def list_servers(self, *names: str) -> None:
        """Deliver an endpoint list of active servers."""
        endpoints = tuple(Endpoint(name) for name in names)
        await self.deliver(EndpointsUpdated(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, endpoints)))

    def new_request(self) -> tuple[RequestState, RecordingHandler]:
        """Create a request and its handler, without delivering a message."""
        self._request_count += 1
        handler = RecordingHandler()
        request = Request(f"{self._request_count:016x}", 0, REQUEST_TIMEOUT_US)
        return RequestState(request, self.clock.now_us() + REQUEST_TIMEOUT_US, handler), handler


def run_with_harness(
    test: Callable[[ControllerHarness], Coroutine[Any, Any, None]], config: Settings | None = None
) -> None:
    """Run a test with a harness in a new event loop."""

    async def run() -> None:
        await test(ControllerHarness(config))

    asyncio.run(run())
