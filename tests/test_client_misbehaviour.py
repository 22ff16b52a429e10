"""Bad clients: each gets an error, a refusal or an end in time, none is served, and usual clients are."""

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


async def end(streams: Streams) -> bytes:
    """All that the proxy answers until it closes."""
    reader, writer = streams
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize(("word", "answer"), [(b"", b"BUSY\r\n"), (b"x", b"ERR "), (b"PING\r\n", b"PONG\r\n")])
def test_silence_trickles_and_pings_end_in_time(word: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.2)

    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()

        async def trickle() -> None:
            while word:
                writer.write(word)
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        assert (await end((reader, writer))).startswith(answer)
        task.cancel()
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


def test_a_request_that_came_while_the_proxy_was_late_still_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        with ours, theirs:
            asked = asyncio.create_task(request_reader.RequestReader(ours, LoopbackProxy().context).read_request())
            await asyncio.sleep(0.01)
            theirs.send(OPEN % 1)
            time.sleep(0.1)  # the loop is late: its time is up before it reads
            assert isinstance(await asked, SessionRequest)

    uvloop.run(test())


@pytest.mark.parametrize("later", [False, True])
def test_a_client_that_does_not_wait_for_up_is_not_served(later: bool) -> None:
    async def mute(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.append(await reader.read())
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        more = OPEN % 2 + b"garbage\r\n" * 300
        reader, writer = await proxy.open_session(b"" if later else b"\r\n" + more[:-2])
        while later and not proxy.forwarded_requests:
            await asyncio.sleep(0.01)
        if later:
            writer.write(more)
        assert await end((reader, writer)) == b"ERR more came before UP\r\n"
        await proxy.wait_until_idle()
        assert len(proxy.forwarded_requests) == later
        while len(served) < len(proxy.forwarded_requests):
            await asyncio.sleep(0.01)

    served: list[bytes] = []
    run_loopback(mute, test)
    assert served == [b""] * later


@pytest.mark.parametrize("bad", [b"d=99999999999", b"d=-1", b"d=NaN", b"d=", b"d=2000,h=-1", b"d=2000,h=nan"])
def test_numbers_beyond_belief_are_errors(bad: bytes) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()
        writer.write((OPEN % 1).replace(b"d=2000", bad))
        assert (await end((reader, writer))).startswith(b"ERR ")
        await proxy.wait_until_idle()
        assert not proxy.forwarded_requests

    run_loopback(serve_echo, test)


def test_a_sender_without_end_gets_an_error_or_an_end() -> None:
    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()
        writer.write(b"x" * 60_000_000)
        assert await end((reader, writer)) in (b"", b"ERR the line is too long\r\n")
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


@pytest.mark.parametrize("word", [b"", b"PING\r\n", b"OPEN"])
def test_idle_connections_make_room_for_those_that_ask(word: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 60.0)

    async def test(proxy: LoopbackProxy) -> None:
        proxy.context.descriptor_limiter = DescriptorLimiter(RESERVED_DESCRIPTORS + 15)
        idle = []
        for _ in range(30):
            idle.append(await proxy.connect())
            idle[-1][1].write(word)
            await asyncio.sleep(0.01)
        for _ in range(3):
            reader, writer = await proxy.open_session()
            assert await reader.readline() == b"UP 77\r\n"
            writer.close()
        for streams in idle[:25]:
            assert (await end(streams)).startswith((b"BUSY", b"PONG", b"ERR"))
        for _, writer in idle:
            writer.close()
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


class FakeConnection:
    def __init__(self, idle: bool) -> None:
        self._idle, self.is_expired = idle, False

    def is_idle(self) -> bool:
        return self._idle

    def expire(self) -> None:
        self.is_expired = True


def test_room_sheds_who_is_idle_longest_and_keeps_whose_words_are_unread() -> None:
    room = DescriptorLimiter(RESERVED_DESCRIPTORS + 4)
    assert room.admit_connection()
    first, second, third = FakeConnection(False), FakeConnection(True), FakeConnection(True)
    for each in (first, second, third):
        room.add_idle(each)
    assert room.acquire_request() and (first.is_expired, second.is_expired, third.is_expired) == (False, True, False)
    assert not room.acquire_request() and third.is_expired and not first.is_expired
    room.remove_idle(first)
    room.release_request()
    assert (
        room.admit_connection()
        and room.ensure_available(2 * DESCRIPTORS_PER_REQUEST)
        and not room.ensure_available(2 * DESCRIPTORS_PER_REQUEST + 1)
    )
