"""Discovery's HTTP and list: random cuts, garbage, and the config's errors."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.backends.backend import GRACE_GUARD_US, Backends
from stoatgw.config.deployment import Address, ConfigError, Deployment, read
from stoatgw.decisions.interface import Lifecycle
from stoatgw.director import director as watching
from stoatgw.director.backoff import Backoff
from stoatgw.director.http import HttpError, HttpLines
from stoatgw.director.list import ListError, ListReader
from stoatgw.owner.clock import Clock
from stoatgw.service import main
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

FIXED = settings(derandomize=True, deadline=None, max_examples=150)
READER = ListReader(("a", "b"), ("m1", "m2"))
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
    base = {"instanceId": "s-1", "hostPort": "127.0.0.2:80", "zone": "b", "machineType": "m2", "cell": 3,
            "lifecycle": "SERVING", "weight": 1.5, "startedAtMs": 5}  # fmt: skip
    return base | changes


def page(*entries: Any, **changes: Any) -> dict[str, Any]:
    return {"generation": 41, "reset": True, "instances": list(entries)} | changes


@FIXED
@given(st.lists(st.integers(0, 999)), st.lists(st.integers(1, 99), min_size=1))
def test_a_watch_reads_the_same_however_it_is_cut(places: list[int], sizes: list[int]) -> None:
    body = b"".join(json.dumps(page(version=size)).encode() + b"\n\n" for size in sizes)
    chunks = [body[start : start + sizes[0]] for start in range(0, len(body), sizes[0])]
    data = HEAD + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    ends = sorted({place % len(data) for place in places} | {0, len(data)})
    http = HttpLines()
    lines = [line for start, end in itertools.pairwise(ends) for line in http.feed(data[start:end]) if line]
    assert [orjson.loads(line)["version"] for line in lines] == sizes


@FIXED
@given(st.binary(min_size=1, max_size=200))
def test_garbage_for_http_ends_in_a_value_error_at_most(garbage: bytes) -> None:
    for data in (garbage, HEAD + garbage):
        with contextlib.suppress(HttpError):
            HttpLines().feed(data)


def test_an_error_status_is_no_list() -> None:
    with pytest.raises(HttpError):
        HttpLines().feed(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def test_an_entry_is_read_by_name() -> None:
    row, host, port = READER.page(page(entry())).rows[0]
    assert (row.server, row.zone, row.kind, row.cell, row.last_start_us) == ("s-1", 1, 1, 3, 5000)
    assert (row.lifecycle, host, port) == (Lifecycle.ON, "127.0.0.2", 80)


JSON = st.recursive(st.none() | st.booleans() | st.floats() | st.text(), st.lists)


@FIXED
@given(st.sampled_from([*entry(), "generation", "reset", "instances"]), JSON)
def test_garbage_in_a_list_is_a_list_error_at_most(field: str, value: Any) -> None:
    for data in (page(entry(**{field: value})), page(entry(), **{field: value}), page(value), value):
        with contextlib.suppress(ListError):
            READER.page(data)


def test_no_first_byte_after_the_drain_grace() -> None:
    backends, grace_us = Backends(), 3_000_000
    backends.listed(READER.page(page(entry())).rows, True, 0)
    backend = backends.get("s-1")
    assert backend is not None and backend.may_send(10**9, grace_us)
    assert backends.listed(READER.page(page(entry(lifecycle="DRAINING"))).rows, False, 10**9) == [backend]
    assert backends.listed(READER.page(page()).rows, True, 2 * 10**9) == []  # told once: the first counts
    assert backend.may_send(10**9 + grace_us - GRACE_GUARD_US - 1, grace_us)
    assert not backend.may_send(10**9 + grace_us - GRACE_GUARD_US, grace_us)


def test_the_configuration_is_read() -> None:
    deployment: Deployment = read(CONFIG)
    assert (deployment.seed, deployment.zones, deployment.tells_delay) == (31, ("a", "b"), True)
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
def test_a_bad_configuration_names_its_field(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field):
        read(CONFIG | changes)


def test_an_address_that_cannot_be_bound_ends_the_start_with_status_2(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(CONFIG | {"listen": f"127.0.0.1:{taken.getsockname()[1]}"}))
        monkeypatch.setenv("LB_CONFIG", str(path))
        assert main() == 2
    assert capsys.readouterr().err.startswith("stoatgw: listen: ")


def test_a_silent_watch_is_replaced_before_its_news_counts_as_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a dead watch keeps back counts as told after 6 s; a grace of 0.75 s covers no more than the answer's way."""
    spans: list[float] = []
    timeout = asyncio.timeout

    def scaled(span_s: float | None) -> asyncio.Timeout:
        spans.append(span_s or 0.0)
        return timeout(None if span_s is None else span_s / 50)

    async def play() -> list[bytes]:
        asked: list[bytes] = []
        both = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(await reader.readuntil(b"\r\n\r\n"))
            if len(asked) == 2:
                both.set()
            body = json.dumps(page(entry())).encode() + b"\n"
            writer.write(HEAD + b"%x\r\n%s\r\n" % (len(body), body))
            with contextlib.suppress(ConnectionError):
                await reader.read()  # and nothing more, until the watch is given up
            writer.close()

        server = await asyncio.start_server(discovery, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        log, counters = EventLog("n0"), Counters()
        owner = type("Sink", (), {"put": lambda self, message: None})()
        director = watching.Director(
            address, READER, Backends(), owner, Clock(), lambda backend: None, log, counters, Backoff(3, Random(1))
        )
        task = asyncio.create_task(director.run())
        await both.wait()
        task.cancel()
        await asyncio.wait([task])
        server.close()
        await server.wait_closed()
        await asyncio.sleep(0.05)
        return asked

    monkeypatch.setattr(asyncio, "timeout", scaled)
    assert len(asyncio.run(play())) == 2
    # Connecting, the first answer, then silence; what comes next is the pause and a new connect.
    _, _, silent_s, *_ = [span for span in spans if span]
    assert silent_s > 2 * 2.0  # two lines missed
    assert silent_s + Backoff(3, Random(1)).next_s() + watching.CONNECT_S <= 6.0
