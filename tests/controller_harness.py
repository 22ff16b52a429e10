"""A controller with the real balancer between a gateway and request handlers that record what is asked of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from stoatgw.clock import Clock
from stoatgw.controller.controller import Controller
from stoatgw.controller.messages import EndpointsUpdated, Message, RequestState
from stoatgw.decisions.interface import Endpoint, EndpointUpdate, EndpointUpdateKind, Request
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.fleet import settings


class RecordingGateway:
    def __init__(self) -> None:
        self.calls: list[Any] = []

    def check_health(self, server: str) -> None:
        self.calls.append(("check_health", server))

    def close_idle(self, server: str) -> None:
        self.calls.append(("close_idle", server))

    def fetch_endpoints(self) -> None:
        self.calls.append("fetch_endpoints")


class RecordingHandler:
    """A client's side that keeps what it is told."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def start_attempt(self, attempt: int, server: str, cut_at_us: int) -> None:
        self.calls.append(("start_attempt", attempt, server))

    def cancel_attempt(self, attempt: int) -> None:
        self.calls.append("cancel_attempt")

    def reject(self, retry_after_us: int) -> None:
        self.calls.append(("reject", retry_after_us))

    def fail(self) -> None:
        self.calls.append("fail")

    def migrate(self) -> None:
        self.calls.append("migrate")


class ControllerHarness:
    def __init__(self) -> None:
        self.clock, self.counters, self.gateway = Clock(), Counters(), RecordingGateway()
        self.controller = Controller(settings(), 7, self.clock, EventLog("test"), self.counters)
        self.controller.start(self.gateway)
        self.request_count = 0

    async def deliver(self, *messages: Message) -> None:
        for message in messages:
            self.controller.post(message)
        task = asyncio.get_running_loop().create_task(self.controller.run())
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    async def list_servers(self, *names: str) -> None:
        entries = tuple(Endpoint(name) for name in names)
        await self.deliver(EndpointsUpdated(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, entries)))

    def new_request(self) -> tuple[RequestState, RecordingHandler]:
        self.request_count += 1
        door = RecordingHandler()
        asked = Request(f"{self.request_count:016x}", 0, 2_000_000)
        return RequestState(asked, self.clock.now_us() + 2_000_000, door), door


def run_with_harness(play: Callable[[ControllerHarness], Any]) -> None:
    async def run() -> None:
        await play(ControllerHarness())

    asyncio.run(run())
