"""Misbehaving clients: each gets an error, BUSY or a close in time and is not served; usual clients are served."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from stoatgw.clients import request_reader
from stoatgw.clients.descriptor_limiter import DESCRIPTORS_PER_REQUEST, RESERVED_DESCRIPTORS, DescriptorLimiter
from stoatgw.line_protocol.grammar import SessionRequest
from tests.test_sessions import OPEN, LoopbackProxy, Streams, run_loopback, serve_echo


async def read_to_end(streams: Streams) -> bytes:
    """Return all that the proxy sends until it closes, b"" if it resets the connection."""
    reader, writer = streams
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize(("data", "answer"), [(b"", b"BUSY\r\n"), (b"x", b"ERR "), (b"PING\r\n", b"PONG\r\n")])
def test_silent_trickling_and_pinging_clients_are_closed_in_time(
    data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.2)

    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()

        async def trickle() -> None:
            while data:
                writer.write(data)
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        assert (await read_to_end((reader, writer))).startswith(answer)
        task.cancel()
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


def test_a_request_received_before_the_timeout_is_accepted_by_a_late_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        proxy_sock, client_sock = socket.socketpair()
        proxy_sock.setblocking(False)
        with proxy_sock, client_sock:
            reading = asyncio.create_task(
                request_reader.RequestReader(proxy_sock, LoopbackProxy().context).read_request()
            )
            await asyncio.sleep(0.01)
            client_sock.send(OPEN % 1)
            block_event_loop(0.1)  # the timeout passes before it reads
            assert isinstance(await reading, SessionRequest)

    uvloop.run(test())


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_client_that_does_not_wait_for_up_is_not_served(is_forwarded: bool) -> None:
    async def serve_silently(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.append(await reader.read())
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        early_data = OPEN % 2 + b"garbage\r\n" * 300
        reader, writer = await proxy.open_session(b"" if is_forwarded else b"\r\n" + early_data[:-2])
        while is_forwarded and not proxy.forwarded_requests:
            await asyncio.sleep(0.01)
        if is_forwarded:
            writer.write(early_data)
        assert await read_to_end((reader, writer)) == b"ERR more came before UP\r\n"
        await proxy.wait_until_idle()
        assert len(proxy.forwarded_requests) == (1 if is_forwarded else 0)
        while len(served) < len(proxy.forwarded_requests):
            await asyncio.sleep(0.01)

    served: list[bytes] = []
    run_loopback(serve_silently, test)
    assert served == ([b""] if is_forwarded else [])


@pytest.mark.parametrize("invalid_field", [b"d=99999999999", b"d=-1", b"d=NaN", b"d=", b"d=2000,h=-1", b"d=2000,h=nan"])
def test_numbers_out_of_range_are_errors(invalid_field: bytes) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()
        writer.write((OPEN % 1).replace(b"d=2000", invalid_field))
        assert (await read_to_end((reader, writer))).startswith(b"ERR ")
        await proxy.wait_until_idle()
        assert not proxy.forwarded_requests

    run_loopback(serve_echo, test)


def test_a_client_that_sends_without_end_gets_an_error_or_eof() -> None:
    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()
        writer.write(b"x" * 60_000_000)
        assert await read_to_end((reader, writer)) in (b"", b"ERR the line is too long\r\n")
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


@pytest.mark.parametrize("data", [b"", b"PING\r\n", b"OPEN"])
def test_idle_connections_are_evicted_for_requests(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 60.0)

    async def test(proxy: LoopbackProxy) -> None:
        proxy.context.descriptor_limiter = DescriptorLimiter(RESERVED_DESCRIPTORS + 15)
        idle = []
        for _ in range(30):
            idle.append(await proxy.connect())
            idle[-1][1].write(data)
            await asyncio.sleep(0.01)
        for _ in range(3):
            reader, writer = await proxy.open_session()
            assert await reader.readline() == b"UP 77\r\n"
            writer.close()
        for streams in idle[:25]:
            assert (await read_to_end(streams)).startswith((b"BUSY", b"PONG", b"ERR"))
        for _, writer in idle:
            writer.close()
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


def block_event_loop(seconds: float) -> None:
    """Block everything else in the process, as an overloaded machine does."""
    time.sleep(seconds)


class FakeConnection:
    def __init__(self, idle: bool) -> None:
        self._idle = idle
        self.is_expired = False

    def is_idle(self) -> bool:
        return self._idle

    def expire(self) -> None:
        self.is_expired = True


def test_the_longest_idle_connection_is_evicted_and_one_with_unread_data_is_kept() -> None:
    limiter = DescriptorLimiter(RESERVED_DESCRIPTORS + 4)
    assert limiter.admit_connection()
    first = FakeConnection(False)
    second = FakeConnection(True)
    third = FakeConnection(True)
    for connection in (first, second, third):
        limiter.add_idle(connection)
    assert limiter.acquire_request()
    assert (first.is_expired, second.is_expired, third.is_expired) == (False, True, False)
    assert not limiter.acquire_request()
    assert third.is_expired
    assert not first.is_expired
    limiter.remove_idle(first)
    limiter.release_request()
    assert limiter.admit_connection()
    assert limiter.ensure_available(2 * DESCRIPTORS_PER_REQUEST)
    assert not limiter.ensure_available(2 * DESCRIPTORS_PER_REQUEST + 1)
