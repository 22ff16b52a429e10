"""Discovery: HTTP parser, endpoint list, watch, and the configuration that contains its address."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.backends.backend import DRAIN_GRACE_MARGIN_US, BackendRegistry
from stoatgw.clock import Clock
from stoatgw.config.deployment import Address, Deployment, parse_deployment
from stoatgw.config.errors import ConfigError
from stoatgw.controller.messages import EndpointsUpdated
from stoatgw.decisions.interface import EndpointUpdateKind, Lifecycle
from stoatgw.discovery.backoff import NOTIFICATION_DEADLINE_S, Backoff
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.discovery.endpoint_list import EndpointListError, EndpointListParser
from stoatgw.discovery.http import HttpError, JsonObjectSplitter, JsonStreamParser
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.discovery.watch_call import WatchCall, WatchState
from stoatgw.service import main
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.virtual import VirtualClock, run

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
PARSER = EndpointListParser(("a", "b"), ("m1", "m2"))
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:8000",
    "discovery": "127.0.0.1:8500",
    "seed": "1f",
    "settings": {
        "balancers": 2,
        "areas": ["a", "b"],
        "kinds": ["m1"],
        "bounds": {"max_attempts": 3, "probes": True},
        "domain": {"message_aim_us": [100000.0, None], "tells_delay": True},
        "profiles": [
            {"name": "chat", "deadline_us": 2000000, "on_time_us": 500000, "idempotency": "retryable"},
            {"name": "view", "deadline_us": 3000000, "on_time_us": 500000, "idempotency": "retryable"},
        ],
        "report": {"via": "on_probe", "columns": ["outstanding", "x0"]},
        "rules": {"drain_grace_us": 3000000},
    },
}


def entry(**changes: Any) -> dict[str, Any]:
    base = {
        "instanceId": "s-1",
        "hostPort": "127.0.0.2:80",
        "zone": "b",
        "machineType": "m2",
        "cell": 3,
        "lifecycle": "SERVING",
        "weight": 1.5,
        "startedAtMs": 5,
    }
    return base | changes


def page(*entries: Any, **changes: Any) -> dict[str, Any]:
    return {"generation": 41, "reset": True, "instances": list(entries)} | changes


@DETERMINISTIC
@given(st.lists(st.integers(0, 999)), st.lists(st.integers(1, 99), min_size=1), st.sampled_from([None, 0, 2]))
def test_a_watch_returns_the_same_objects_however_it_is_split(
    positions: list[int], sizes: list[int], indent: int | None
) -> None:
    escaped_entry = entry(instanceId='s\\"}{[')
    body = b"".join(json.dumps(page(escaped_entry, version=size), indent=indent).encode() + b"\n\n" for size in sizes)
    chunks = [body[start : start + sizes[0]] for start in range(0, len(body), sizes[0])]
    data = HEAD + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    ends = sorted({position % len(data) for position in positions} | {0, len(data)})
    parser = JsonStreamParser()
    items = [item for start, end in itertools.pairwise(ends) for item in parser.receive_data(data[start:end]) if item]
    assert [orjson.loads(item)["version"] for item in items] == sizes


@DETERMINISTIC
@given(st.binary(min_size=1, max_size=200))
def test_garbage_in_a_response_raises_nothing_but_an_http_error(garbage: bytes) -> None:
    for data in (garbage, HEAD + garbage):
        with contextlib.suppress(HttpError):
            JsonStreamParser().receive_data(data)


def test_an_error_status_raises_an_http_error() -> None:
    with pytest.raises(HttpError):
        JsonStreamParser().receive_data(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def test_an_entry_is_parsed_with_the_names_in_the_settings() -> None:
    listed = PARSER.parse_page(page(entry())).entries[0]
    endpoint = listed.endpoint
    assert (endpoint.name, endpoint.zone, endpoint.machine_kind) == ("s-1", 1, 1)
    assert (endpoint.cell, endpoint.started_us, endpoint.lifecycle) == (3, 5000, Lifecycle.ACTIVE)
    assert (listed.host, listed.port) == ("127.0.0.2", 80)


JSON_VALUES = st.recursive(st.none() | st.booleans() | st.floats() | st.text(), st.lists)


@DETERMINISTIC
@given(st.sampled_from([*entry(), "generation", "reset", "instances"]), JSON_VALUES)
def test_garbage_in_an_object_raises_nothing_but_an_endpoint_list_error(field: str, value: Any) -> None:
    for data in (page(entry(**{field: value})), page(entry(), **{field: value}), page(value), value):
        with contextlib.suppress(EndpointListError):
            PARSER.parse_page(data)


def test_no_request_is_sent_after_the_drain_grace() -> None:
    backends = BackendRegistry()
    grace_us = 3_000_000
    drain_us = 10**9
    backends.update(PARSER.parse_page(page(entry())).entries, is_snapshot=True, now_us=0)
    backend = backends.get("s-1")
    assert backend is not None
    assert backend.accepts_new_sessions(drain_us, grace_us)
    draining = PARSER.parse_page(page(entry(lifecycle="DRAINING"))).entries
    assert backends.update(draining, is_snapshot=False, now_us=drain_us) == [backend]
    empty = PARSER.parse_page(page()).entries
    assert backends.update(empty, is_snapshot=True, now_us=2 * drain_us) == []  # the first notification counts
    assert backend.accepts_new_sessions(drain_us + grace_us - DRAIN_GRACE_MARGIN_US - 1, grace_us)
    assert not backend.accepts_new_sessions(drain_us + grace_us - DRAIN_GRACE_MARGIN_US, grace_us)


def test_the_configuration_is_parsed() -> None:
    deployment: Deployment = parse_deployment(CONFIG)
    assert (deployment.seed, deployment.zones, deployment.reports_message_latency) == (31, ("a", "b"), True)
    assert [profile.name for profile in deployment.settings.profiles] == ["chat", "view"]
    assert deployment.settings.profiles[1].message_aim_us == float("inf")
    assert deployment.settings.report_columns == ("outstanding", "x0")


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"seed": "x"}, "seed"),
        ({"name": 3}, "name"),
        ({"settings": {}}, "profiles.count"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"known": []}, "known"),
        ({"settings": CONFIG["settings"] | {"areas": "a"}}, "settings.areas"),
    ],
)
def test_the_error_for_an_invalid_configuration_names_the_field(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field):
        parse_deployment(CONFIG | changes)


def test_an_address_that_cannot_be_bound_exits_with_status_2(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(CONFIG | {"listen": f"127.0.0.1:{occupied.getsockname()[1]}"}))
        monkeypatch.setenv("LB_CONFIG", str(path))
        assert main() == 2
    assert capsys.readouterr().err.startswith("stoatgw: listen: ")


SNAPSHOT_PAGE = page(entry())
DRAINING_PAGE = page(entry(lifecycle="DRAINING"), generation=42, reset=False)
Fault = Callable[[asyncio.StreamReader, asyncio.StreamWriter, float], Awaitable[None]]


def encode_chunk(data: Any, indent: int | None = None) -> bytes:
    body = (data if isinstance(data, bytes) else json.dumps(data, indent=indent).encode()) + b"\n"
    return b"%x\r\n%s\r\n" % (len(body), body)


async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recovery_at_s: float) -> None:
    await reader.read()


async def reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recovery_at_s: float) -> None:
    await asyncio.sleep(0.3)
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recovery_at_s: float) -> None:
    writer.transport.abort()


async def drip(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recovery_at_s: float) -> None:
    """Send an object that never ends, byte by byte: the connection is alive, but completes nothing."""
    writer.write(HEAD)
    while True:
        writer.write(b"1\r\n{\r\n")
        await asyncio.sleep(0.5)


async def truncate(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recovery_at_s: float) -> None:
    writer.write(HEAD + encode_chunk(DRAINING_PAGE)[:60])
    await reader.read()


async def withhold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, recovery_at_s: float) -> None:
    """Stay silent while discovery is down, and send the change when it recovers, as an agent does."""
    await asyncio.sleep(max(0.0, recovery_at_s - asyncio.get_running_loop().time()))
    writer.write(HEAD + encode_chunk(DRAINING_PAGE))
    await reader.read()


def make_client(
    address: Address, post: Callable[[EndpointsUpdated], None], clock: Clock, backoff: Backoff
) -> DiscoveryClient:
    log = EventLog("n0")
    queue = SimpleNamespace(post=post)
    publisher = EndpointPublisher(BackendRegistry(), queue, clock, log, on_draining=lambda backend: None)
    return DiscoveryClient(address, PARSER, publisher, backoff, log, Counters())


async def notification_delay_s(fault: Fault, down_s: float, pushed: bool = True, seed: int = 1) -> float:
    """Return the seconds from discovery's recovery to the notification; the first watch stalls after its snapshot."""
    loop = asyncio.get_running_loop()
    notified = asyncio.Event()
    start_s = loop.time()
    call_count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal call_count
        call_count += 1
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if call_count == 1:
                writer.write(HEAD + encode_chunk(SNAPSHOT_PAGE, indent=2))
                await reader.read()
            elif loop.time() < start_s + down_s:
                await fault(reader, writer, start_s + down_s)
            else:
                writer.write(HEAD + encode_chunk(DRAINING_PAGE, indent=1))
                await reader.read()
        writer.close()

    def post(message: EndpointsUpdated) -> None:
        if any(endpoint.lifecycle is Lifecycle.DRAINING for endpoint in message.update.endpoints):
            notified.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    backoff = Backoff(2 if pushed else 200, Random(seed), pushed=pushed)
    task = asyncio.create_task(make_client(address, post, VirtualClock(), backoff).run())
    async with asyncio.timeout(down_s + 60):
        await notified.wait()
    delay_s = loop.time() - start_s - down_s
    task.cancel()
    await asyncio.wait([task])
    server.close()
    return delay_s


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("fault", [hang, reject, reset, drip, truncate])
def test_whichever_call_fails_a_change_is_notified_in_time(fault: Fault, pushed: bool) -> None:
    """Whichever call fails, the notification meets its deadline, or is sent within 2 s of discovery's recovery.

    The deadline starts when the watch stalls; if a large fleet polls, the response alone may take 2 s of it.
    """
    deadline_s = NOTIFICATION_DEADLINE_S - (0.0 if pushed else 2.0)
    for tenths in range(0, 100, 7):
        down_s = tenths / 10
        delay_s = run(notification_delay_s(fault, down_s, pushed))
        assert down_s + delay_s <= max(deadline_s, down_s + 2.0), down_s


def test_a_stalled_call_is_read_when_discovery_recovers() -> None:
    for down_s in (3.0, 5.5, 9.9, 30.0):
        assert run(notification_delay_s(withhold, down_s)) < 0.01


def test_a_closed_call_passes_nothing_on() -> None:
    received: list[tuple[WatchState, bytes]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + encode_chunk(SNAPSHOT_PAGE) + encode_chunk(DRAINING_PAGE))
        await reader.read()
        writer.close()

    def close(call: WatchCall, item: bytes) -> bool:
        received.append((call.state, item))
        call.close()
        return True

    async def receive_and_close() -> WatchState:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        call = WatchCall(close)
        assert call.state is WatchState.CONNECTING
        task = asyncio.create_task(call.receive(address, None))
        # A call that is still open would wait for the server forever.
        _, pending = await asyncio.wait([task], timeout=10.0)
        task.cancel()
        server.close()
        assert not pending
        return call.state

    assert run(receive_and_close()) is WatchState.CLOSED
    assert received == [(WatchState.REQUESTED, json.dumps(SNAPSHOT_PAGE).encode())]


def test_overrides_are_published_only_for_listed_endpoints() -> None:
    published: list[EndpointsUpdated] = []
    overridden = Lifecycle.DRAINING
    publisher = EndpointPublisher(
        BackendRegistry(),
        SimpleNamespace(post=published.append),
        Clock(),
        EventLog("n0"),
        on_draining=lambda backend: None,
        override=lambda endpoint: dataclasses.replace(endpoint, lifecycle=overridden),
    )
    publisher.apply(PARSER.parse_page(page(entry())), EndpointUpdateKind.SNAPSHOT)
    publisher.republish(["s-9"])
    assert len(published) == 1
    publisher.republish(["s-9", "s-1"])
    assert [message.update.kind for message in published] == [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA]
    assert [endpoint.lifecycle for message in published for endpoint in message.update.endpoints] == [overridden] * 2
    assert publisher.endpoints()[0].lifecycle is Lifecycle.ACTIVE


def test_changes_of_an_older_generation_are_not_applied() -> None:
    client = make_client(Address("127.0.0.1", 1), lambda message: None, Clock(), Backoff(2, Random(1)))
    client.load_snapshot(page(entry(lifecycle="DRAINING"), generation=42))
    assert not client._apply_object(json.dumps(page(entry(), generation=41, reset=False)).encode())
    assert client.publisher.endpoints()[0].lifecycle is Lifecycle.DRAINING
    # A full snapshot, from a new sequence of generations, is applied.
    assert client._apply_object(json.dumps(page(entry(), generation=3)).encode())
    assert client.publisher.endpoints()[0].lifecycle is Lifecycle.ACTIVE


def test_an_object_that_never_ends_is_abandoned_at_the_limit() -> None:
    splitter = JsonObjectSplitter(max_object_bytes=1000)
    for _ in range(100):
        assert splitter.receive_data(b'{"a":"' + b"x" * 20) == []
    assert splitter.is_overlong
    assert not splitter.trailing_data
