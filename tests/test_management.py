"""The second address: calls however they are cut, callers that stay, and what each call answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.config.deployment import Address
from stoatgw.management.http import CALL_CAP, HttpRequest, HttpRequestParser, HttpResponse
from stoatgw.management.listener import CALLERS_MOST, ManagementListener
from stoatgw.management.routes import Operation, OperationRequest, parse_operation
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.test_line_protocol import cut

FIXED = settings(derandomize=True, deadline=None, max_examples=150)
DRAIN = b"POST /v1/proxy/drain?why=x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@FIXED
@given(st.lists(st.integers(0, len(DRAIN))), st.binary(max_size=40))
def test_a_call_reads_the_same_however_it_is_cut_and_whatever_follows(places: list[int], more: bytes) -> None:
    reader = HttpRequestParser()
    got = [reader.feed(part) for part in cut(DRAIN, places)]
    assert got[-1] == HttpRequest("POST", "/v1/proxy/drain") and not any(got[:-1])
    assert reader.feed(more) == got[-1] if more else True


@FIXED
@given(st.binary(min_size=1, max_size=300))
def test_garbage_is_answered_or_waited_for_and_never_a_call_of_ours(data: bytes) -> None:
    got = HttpRequestParser().feed(data)
    assert got is None or (isinstance(got, HttpResponse) and got.status == 400)


def test_a_call_too_long_is_refused_before_it_is_whole() -> None:
    reader = HttpRequestParser()
    assert reader.feed(b"GET /v1/readyz HTTP/1.1\r\nHost: ") is None
    got = reader.feed(b"a" * CALL_CAP)
    assert isinstance(got, HttpResponse) and got.status in (400, 413)


@pytest.mark.parametrize(
    ("method", "path", "wanted"),
    [
        ("GET", "/v1/readyz", OperationRequest(Operation.READY)),
        ("GET", "/v1/metrics", OperationRequest(Operation.METRICS)),
        ("POST", "/v1/session-servers/s%2D5%2f/suspend", OperationRequest(Operation.SUSPEND, "s-5/")),
        ("POST", "/v1/session-servers/resume/resume", OperationRequest(Operation.RESUME, "resume")),
        ("POST", "/v1/proxy/activate", OperationRequest(Operation.ACTIVATE)),
        ("GET", "/v1/proxy/drain", 405),
        ("POST", "/v1/readyz", 405),
        ("GET", "/v1/readyz/", 404),
        ("GET", "", 404),
        ("POST", "/v1/session-servers/%ff/suspend", 400),
    ],
)
def test_which_call_it_is(method: str, path: str, wanted: OperationRequest | int) -> None:
    got = parse_operation(HttpRequest(method, path))
    assert (got.status if isinstance(got, HttpResponse) else got) == wanted


class Desk:
    def execute(self, order: OperationRequest) -> HttpResponse:
        if order.operation is Operation.RESUME:
            raise RuntimeError("broken")
        return HttpResponse(200, f"yes: {order.operation.value} {order.server}\n")


async def call(port: int, data: bytes, *, end: bool = False) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if end:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


def play(test: Callable[[int], Awaitable[None]]) -> None:
    async def run() -> None:
        listener = ManagementListener(Desk(), EventLog("test"), Counters())
        listener.bind(Address("127.0.0.1", 0))
        assert listener._sock is not None
        task = asyncio.get_running_loop().create_task(listener.run())
        async with asyncio.timeout(20):
            await test(listener._sock.getsockname()[1])
        task.cancel()

    uvloop.run(run())


def test_callers_that_stay_do_not_shut_out_whole_calls() -> None:
    async def test(port: int) -> None:
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * CALLERS_MOST)]
        for _, writer in held[::2]:
            writer.write(b"GET /v1/rea")
        whole = [call(port, b"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n", end=bool(n % 2)) for n in range(8)]
        for answer in await asyncio.gather(*whole):
            assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and answer.endswith(b"yes: readyz \n")
        # The oldest made room for them; one that sent half a call and was kept is told in the end.
        assert await held[0][0].read() == b"" and b" 408 " in await held[-2][0].read()

    play(test)


def test_a_fault_or_a_wrong_call_is_no_yes_and_ends_nothing() -> None:
    async def test(port: int) -> None:
        for data, status in (
            (b"POST /v1/session-servers/a/resume HTTP/1.1\r\n\r\n", b"500"),
            (b"DELETE /v1/proxy/drain HTTP/1.1\r\n\r\n", b"405"),
            (b"\x00\x01garbage\r\n\r\n", b"400"),
            (b"POST /v1/proxy/drain HTTP/1.1\r\n\r\n", b"200"),
        ):
            assert (await call(port, data)).split()[1] == status

    play(test)
