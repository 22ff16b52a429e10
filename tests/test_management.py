"""The management address: requests split at any byte, connections that stay open, and the response to each request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.config.deployment import Address
from stoatgw.management.http import MAX_REQUEST_BYTES, HttpRequest, HttpRequestParser, HttpResponse
from stoatgw.management.listener import MAX_CONNECTIONS, ManagementListener
from stoatgw.management.routes import Operation, OperationRequest, parse_operation
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.test_line_protocol import split_at

FIXED = settings(derandomize=True, deadline=None, max_examples=150)
DRAIN_REQUEST = b"POST /v1/proxy/drain?why=x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@FIXED
@given(st.lists(st.integers(0, len(DRAIN_REQUEST))), st.binary(max_size=40))
def test_a_request_parses_the_same_however_it_is_split_and_whatever_follows(
    positions: list[int], trailing: bytes
) -> None:
    parser = HttpRequestParser()
    results = [parser.feed(chunk) for chunk in split_at(DRAIN_REQUEST, positions)]
    assert results[-1] == HttpRequest("POST", "/v1/proxy/drain")
    assert not any(results[:-1])
    if trailing:
        assert parser.feed(trailing) == results[-1]


@FIXED
@given(st.binary(min_size=1, max_size=300))
def test_random_bytes_are_rejected_or_incomplete_and_never_a_request(data: bytes) -> None:
    result = HttpRequestParser().feed(data)
    assert result is None or (isinstance(result, HttpResponse) and result.status == 400)


def test_a_request_that_is_too_long_is_rejected_before_it_is_complete() -> None:
    parser = HttpRequestParser()
    assert parser.feed(b"GET /v1/readyz HTTP/1.1\r\nHost: ") is None
    result = parser.feed(b"a" * MAX_REQUEST_BYTES)
    assert isinstance(result, HttpResponse)
    assert result.status in (400, 413)


@pytest.mark.parametrize(
    ("method", "path", "expected"),
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
def test_a_method_and_a_path_select_an_operation(method: str, path: str, expected: OperationRequest | int) -> None:
    result = parse_operation(HttpRequest(method, path))
    assert (result.status if isinstance(result, HttpResponse) else result) == expected


class StubManagementApi:
    """Answers "yes" to every operation but `resume`, which fails."""

    def execute(self, request: OperationRequest) -> HttpResponse:
        if request.operation is Operation.RESUME:
            raise RuntimeError("broken")
        return HttpResponse(200, f"yes: {request.operation.value} {request.server}\n")


async def send_request(port: int, data: bytes, *, sends_eof: bool = False) -> bytes:
    """Return the response to the data; `sends_eof` closes the client's side after sending it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if sends_eof:
        writer.write_eof()
    response = await reader.read()
    writer.close()
    return response


def run_with_listener(test: Callable[[int], Awaitable[None]]) -> None:
    async def run() -> None:
        listener = ManagementListener(StubManagementApi(), EventLog("test"), Counters())
        listener.bind(Address("127.0.0.1", 0))
        assert listener.bound_port
        task = asyncio.get_running_loop().create_task(listener.run())
        async with asyncio.timeout(20):
            await test(listener.bound_port)
        task.cancel()

    uvloop.run(run())


def test_connections_that_stay_open_do_not_block_complete_requests() -> None:
    async def test(port: int) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)]
        for _, writer in idle[::2]:
            writer.write(b"GET /v1/rea")
        complete = [
            send_request(port, b"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n", sends_eof=bool(number % 2))
            for number in range(8)
        ]
        for response in await asyncio.gather(*complete):
            assert response.startswith(b"HTTP/1.1 200 OK\r\n")
            assert response.endswith(b"yes: readyz \n")
        # The oldest connection was closed to make room. One that sent a partial request and stayed open times out.
        assert await idle[0][0].read() == b""
        assert b" 408 " in await idle[-2][0].read()

    run_with_listener(test)


def test_a_failing_operation_or_an_invalid_request_is_an_error_and_the_listener_keeps_running() -> None:
    async def test(port: int) -> None:
        for data, status in (
            (b"POST /v1/session-servers/a/resume HTTP/1.1\r\n\r\n", b"500"),
            (b"DELETE /v1/proxy/drain HTTP/1.1\r\n\r\n", b"405"),
            (b"\x00\x01garbage\r\n\r\n", b"400"),
            (b"POST /v1/proxy/drain HTTP/1.1\r\n\r\n", b"200"),
        ):
            assert (await send_request(port, data)).split()[1] == status

    run_with_listener(test)
