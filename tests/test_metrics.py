"""The metrics: their format, and their values compared with what clients and servers saw in random runs."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter

import pytest

from stoatgw.controller.messages import BeginDrain
from stoatgw.decisions.interface import AttemptStatus, Endpoint, EndpointUpdate, EndpointUpdateKind, Lifecycle, Request
from stoatgw.telemetry.metrics import RequestMetrics, RequestOutcome
from tests.balancer_harness import BalancerHarness
from tests.test_sessions import LoopbackProxy, run_loopback

CLASSES = ["chat", "view"]
OUTCOMES = {b"UP": RequestOutcome.SUCCESS, b"BUSY": RequestOutcome.OVERLOAD}


def test_every_class_has_its_metrics_from_the_first_reading_on() -> None:
    metrics = RequestMetrics(CLASSES)
    metrics.record_outcome("view", RequestOutcome.OVERLOAD)
    metrics.record_outcome("no such class", RequestOutcome.ERROR)
    assert metrics.render(3, 1).splitlines() == [
        "proxy.success.chat:0|c",
        "proxy.success.view:0|c",
        "proxy.overload.chat:0|c",
        "proxy.overload.view:1|c",
        "proxy.error.chat:0|c",
        "proxy.error.view:0|c",
        "proxy.dispatches:0|c",
        "proxy.concurrent:0|g",
        "proxy.targets:3|g",
        "proxy.targets_disabled:1|g",
    ]


class RandomWorkload:
    """Clients and a server that behave randomly, and a record of what the clients saw."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.answers: Counter[tuple[str, RequestOutcome]] = Counter()  # by class
        self.disconnected: Counter[str] = Counter()  # clients that disconnected before their answer, by class

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await asyncio.sleep(self._random.choice([0, 0, 0.05]))
            writer.write(self._random.choice([b"UP 1\r\n", b"UP 1\r\n", b"BUSY\r\n", b"ERR x\r\n", b""]))
            if self._random.random() < 0.5:
                await reader.read()
        writer.close()

    async def run_client(self, proxy: LoopbackProxy) -> None:
        class_name = self._random.choice(CLASSES)
        behavior = self._random.random()
        proxy.last_request_id += 1
        reader, writer = await proxy.connect()
        writer.write(b"OPEN %016x 1 c=%s,d=2000\r\n" % (proxy.last_request_id, class_name.encode()))
        if behavior < 0.1:  # does not wait for UP
            writer.write(b"early\r\n")
        if behavior > 0.9:
            self.disconnected[class_name] += 1
            writer.close()
            return
        with contextlib.suppress(ConnectionResetError):
            keyword = (await reader.readline()).strip().split(b" ")[0]
            if keyword:
                self.answers[class_name, OUTCOMES.get(keyword, RequestOutcome.ERROR)] += 1
        writer.close()


def read_metrics(proxy: LoopbackProxy) -> dict[str, int]:
    """Return the metrics by name."""
    values = {}
    for line in proxy.context.metrics.render(1, 0).splitlines():
        name, value = line.split(":")
        values[name] = int(value.split("|")[0])
    return values


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_metrics_are_what_the_clients_and_servers_saw(seed: int) -> None:
    workload = RandomWorkload(seed)

    async def test(proxy: LoopbackProxy) -> None:
        for iteration in range(6):
            await asyncio.gather(*(workload.run_client(proxy) for _ in range(10)))
            if iteration == 3:
                proxy.controller._recovery.recover(RuntimeError("a fault of the policy"))
            if iteration == 4:
                proxy.controller.post(BeginDrain(0, 0))
        await proxy.wait_until_idle()
        metrics = read_metrics(proxy)
        for class_name in CLASSES:
            counted = {outcome: metrics[f"proxy.{outcome.value}.{class_name}"] for outcome in RequestOutcome}
            seen = {outcome: workload.answers[class_name, outcome] for outcome in RequestOutcome}
            assert all(counted[outcome] >= seen[outcome] for outcome in RequestOutcome)
            assert sum(counted.values()) - sum(seen.values()) <= workload.disconnected[class_name]
        # The attempt of a client that disconnects immediately may be cancelled before the server reads its line.
        received = len(proxy.forwarded_requests)
        assert received <= metrics["proxy.dispatches"] <= received + workload.disconnected.total()
        assert metrics["proxy.concurrent"] == 0

    run_loopback(workload.serve, test)


def test_servers_that_drain_or_failed_are_avoided() -> None:
    harness = BalancerHarness()
    harness.list_servers(a=0, b=0, c=0, d=0, e=0)
    for name in "abcde":
        harness.report(name, 0.1, 5)
    assert harness.balancer.avoided_servers(harness.now_us) == []
    harness.handle(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (Endpoint("a", Lifecycle.DRAINING),)))
    harness.now_us += 1
    harness.handle(Request("0" * 16, 0, 2_000_000))
    tried = harness.sent_to()
    assert tried is not None
    harness.end_attempt("0" * 16, tried, AttemptStatus.DROPPED)
    assert harness.balancer.avoided_servers(harness.now_us) == sorted(["a", tried])
    harness.now_us += 10_000_000
    assert harness.balancer.avoided_servers(harness.now_us) == ["a"]
