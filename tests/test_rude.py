"""Bad clients: each gets an error, a refusal or an end in time, none is served, and usual clients are."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from stoatgw.clients import request_reader
from stoatgw.clients.descriptor_limiter import DESCRIPTORS_KEPT, REQUEST_HOLDS, DescriptorLimiter
from stoatgw.line_protocol.grammar import SessionRequest
from tests.test_sessions import OPEN, Proxy, Streams, echo, play


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
    monkeypatch.setattr(request_reader, "PATIENCE_S", 0.2)

    async def test(proxy: Proxy) -> None:
        reader, writer = await proxy.client()

        async def trickle() -> None:
            while word:
                writer.write(word)
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        assert (await end((reader, writer))).startswith(answer)
        task.cancel()
        await proxy.settle()

    play(echo, test)


def test_a_request_that_came_while_the_proxy_was_late_still_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "PATIENCE_S", 0.05)

    async def test() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        with ours, theirs:
            asked = asyncio.create_task(request_reader.RequestReader(ours, Proxy().context).request())
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

    async def test(proxy: Proxy) -> None:
        more = OPEN % 2 + b"garbage\r\n" * 300
        reader, writer = await proxy.ask(b"" if later else b"\r\n" + more[:-2])
        while later and not proxy.asked:
            await asyncio.sleep(0.01)
        if later:
            writer.write(more)
        assert await end((reader, writer)) == b"ERR more came before UP\r\n"
        await proxy.settle()
        assert len(proxy.asked) == later
        while len(served) < len(proxy.asked):
            await asyncio.sleep(0.01)

    served: list[bytes] = []
    play(mute, test)
    assert served == [b""] * later


@pytest.mark.parametrize("bad", [b"d=99999999999", b"d=-1", b"d=NaN", b"d=", b"d=2000,h=-1", b"d=2000,h=nan"])
def test_numbers_beyond_belief_are_errors(bad: bytes) -> None:
    async def test(proxy: Proxy) -> None:
        reader, writer = await proxy.client()
        writer.write((OPEN % 1).replace(b"d=2000", bad))
        assert (await end((reader, writer))).startswith(b"ERR ")
        await proxy.settle()
        assert not proxy.asked

    play(echo, test)


def test_a_sender_without_end_gets_an_error_or_an_end() -> None:
    async def test(proxy: Proxy) -> None:
        reader, writer = await proxy.client()
        writer.write(b"x" * 60_000_000)
        assert await end((reader, writer)) in (b"", b"ERR the line is too long\r\n")
        await proxy.settle()

    play(echo, test)


@pytest.mark.parametrize("word", [b"", b"PING\r\n", b"OPEN"])
def test_idle_connections_make_room_for_those_that_ask(word: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "PATIENCE_S", 60.0)

    async def test(proxy: Proxy) -> None:
        proxy.context.descriptor_limiter = DescriptorLimiter(DESCRIPTORS_KEPT + 15)
        idle = []
        for _ in range(30):
            idle.append(await proxy.client())
            idle[-1][1].write(word)
            await asyncio.sleep(0.01)
        for _ in range(3):
            reader, writer = await proxy.ask()
            assert await reader.readline() == b"UP 77\r\n"
            writer.close()
        for streams in idle[:25]:
            assert (await end(streams)).startswith((b"BUSY", b"PONG", b"ERR"))
        for _, writer in idle:
            writer.close()
        await proxy.settle()

    play(echo, test)


class Quiet:
    def __init__(self, idle: bool) -> None:
        self._idle, self.gone = idle, False

    def idle(self) -> bool:
        return self._idle

    def shed(self) -> None:
        self.gone = True


def test_room_sheds_who_is_idle_longest_and_keeps_whose_words_are_unread() -> None:
    room = DescriptorLimiter(DESCRIPTORS_KEPT + 4)
    assert room.admits()
    first, second, third = Quiet(False), Quiet(True), Quiet(True)
    for each in (first, second, third):
        room.waits(each)
    assert room.take() and (first.gone, second.gone, third.gone) == (False, True, False)
    assert not room.take() and third.gone and not first.gone
    room.opened(first)
    room.leave()
    assert room.admits() and room.free(2 * REQUEST_HOLDS) and not room.free(2 * REQUEST_HOLDS + 1)
