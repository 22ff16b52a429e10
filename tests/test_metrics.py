"""The figures against a ledger of what the clients saw, over a random history; and their form."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter

import pytest

from stoatgw.controller.messages import BeginDrain
from stoatgw.decisions.interface import AttemptStatus, Endpoint, EndpointUpdate, EndpointUpdateKind, Lifecycle, Request
from stoatgw.telemetry.metrics import RequestMetrics, RequestOutcome
from tests.fleet import BalancerHarness
from tests.test_sessions import LoopbackProxy, run_loopback

KINDS = {b"UP": RequestOutcome.SUCCESS, b"BUSY": RequestOutcome.OVERLOAD}


def test_every_class_has_its_figures_from_the_first_reading_on() -> None:
    figures = RequestMetrics(["chat", "view"])
    figures.record_outcome("view", RequestOutcome.OVERLOAD)
    figures.record_outcome("no such class", RequestOutcome.ERROR)
    assert figures.render(3, 1).splitlines() == [
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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_figures_are_what_the_clients_and_servers_saw(seed: int) -> None:
    chance = random.Random(seed)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await asyncio.sleep(chance.choice([0, 0, 0.05]))
            writer.write(chance.choice([b"UP 1\r\n", b"UP 1\r\n", b"BUSY\r\n", b"ERR x\r\n", b""]))
            if chance.random() < 0.5:
                await reader.read()
        writer.close()

    async def client(proxy: LoopbackProxy, seen: Counter[tuple[str, RequestOutcome]], gone: list[str]) -> None:
        name, act = chance.choice(["chat", "view"]), chance.random()
        proxy.last_request_id += 1
        reader, writer = await proxy.connect()
        writer.write(b"OPEN %016x 1 c=%s,d=2000\r\n" % (proxy.last_request_id, name.encode()))
        if act < 0.1:  # does not wait for UP
            writer.write(b"early\r\n")
        if act > 0.9:  # leaves before its answer
            gone.append(name)
            writer.close()
            return
        with contextlib.suppress(ConnectionResetError):
            word = (await reader.readline()).strip().split(b" ")[0]
            seen[name, KINDS.get(word, RequestOutcome.ERROR)] += bool(word)
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        seen: Counter[tuple[str, RequestOutcome]] = Counter()
        gone: list[str] = []
        for turn in range(6):
            await asyncio.gather(*(client(proxy, seen, gone) for _ in range(10)))
            if turn == 3:
                proxy.controller._recover(RuntimeError("a fault of the module"))
            if turn == 4:
                proxy.controller.post(BeginDrain(0, 0))
        await proxy.wait_until_idle()
        told = {
            line.split(":")[0]: int(line.split(":")[1].split("|")[0])
            for line in proxy.context.metrics.render(1, 0).splitlines()
        }
        for name in ("chat", "view"):
            counts = {verdict: told[f"proxy.{verdict.value}.{name}"] for verdict in RequestOutcome}
            assert all(counts[verdict] >= seen[name, verdict] for verdict in RequestOutcome)
            assert sum(counts.values()) - sum(seen[name, verdict] for verdict in RequestOutcome) <= gone.count(name)
        # A client that leaves at once may take its attempt back before its line is read.
        assert len(proxy.forwarded_requests) <= told["proxy.dispatches"] <= len(proxy.forwarded_requests) + len(gone)
        assert told["proxy.concurrent"] == 0

    run_loopback(serve, test)


def test_avoided_are_those_that_leave_that_failed_and_that_do_not_answer() -> None:
    stand = BalancerHarness()
    stand.list_servers(a=0, b=0, c=0, d=0, e=0)
    for name in "abcde":
        stand.report(name, 0.1, 5)
    assert stand.balancer.avoided_servers(stand.now_us) == []
    stand.handle(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (Endpoint("a", Lifecycle.DRAINING),)))
    stand.now_us += 1
    stand.handle(Request("0" * 16, 0, 2_000_000))
    tried = stand.sent_to()
    assert tried is not None
    stand.end_attempt("0" * 16, tried, AttemptStatus.DROPPED)
    assert stand.balancer.avoided_servers(stand.now_us) == sorted(["a", tried])
    stand.now_us += 10_000_000
    assert stand.balancer.avoided_servers(stand.now_us) == ["a"]
