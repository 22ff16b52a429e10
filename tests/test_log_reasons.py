"""Connections closed, and attempts retried or abandoned, without an answer have a reason in the log."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from stoatgw.clients.context import PeerSide
from stoatgw.clients.unread_eof import UnreadEofDetector
from stoatgw.sockets import tcp
from stoatgw.telemetry.log import EventLog
from tests.test_sessions import OPEN, LoopbackProxy, run_loopback, serve_echo

Events = list[dict[str, Any]]
FIRST_ID = f"{1:016x}"


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> Events:
    """All logged events, collected instead of written."""
    written: Events = []

    def event(_log: EventLog, event: str, **fields: Any) -> None:
        written.append({"event": event} | fields)

    monkeypatch.setattr(EventLog, "event", event)
    return written


def named(events: Events, name: str) -> Events:
    return [event for event in events if event["event"] == name]


def test_a_client_reset_before_its_request_is_read_is_logged(events: Events) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        client = socket.create_connection(("127.0.0.1", proxy.port))
        while not proxy.counters["connections"]:
            await asyncio.sleep(0.005)
        tcp.close(client, reset=True)
        await proxy.wait_until_idle()
        (event,) = named(events, "connection_broken")
        assert event["why"] == "[Errno 104] Connection reset by peer"

    run_loopback(serve_echo, test)


def test_a_client_disconnection_in_the_middle_of_its_request_is_logged(events: Events) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.connect()
        writer.write(OPEN[:10])
        writer.write_eof()
        assert await reader.read() == b"BUSY\r\n"
        await proxy.wait_until_idle()
        (event,) = named(events, "connection_closed")
        assert event["why"] == "the client disconnected in the middle of its request"

    run_loopback(serve_echo, test)


def test_each_reason_for_retrying_a_restored_session_is_logged_once(events: Events) -> None:
    answers = [b"BUSY\r\n", b"BUSY\r\n", b"BUSY 7\r\n", b"ERR x\r\n"]

    async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(answers.pop(0))
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        reader, _ = await proxy.open_session(b",at=s")
        assert (await reader.readline()).startswith(b"ERR")
        await proxy.wait_until_idle()
        retries = named(events, "session_restore_retried")
        assert [(event["why"], event["attempts"], event["backend"]) for event in retries] == [
            ("BUSY", 1, "s"),
            ("BUSY 7", 3, "s"),
        ]
        assert {event["id"] for event in retries} == {FIRST_ID}
        (failure,) = named(events, "session_restore_failed")
        assert (failure["why"], failure["attempts"]) == ("ERR x", 4)

    run_loopback(serve, test)


@pytest.mark.parametrize(
    ("answer", "failures"),
    [(b"PONG x0=0.5\r\n", []), (b"ERR\r\n", ["answered ERR"]), (b"", ["closed without a reply"])],
)
def test_failed_and_retried_health_checks_are_logged(answer: bytes, failures: list[str], events: Events) -> None:
    """The first check leaves an idle connection that the server closes at the second, which is retried on a new one."""
    connections: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(1)
        if len(connections) == 1:
            writer.write(b"PONG\r\n")
            await reader.readline()
        else:
            writer.write(answer)
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        await proxy.check_health_twice()
        assert [event["why"] for event in named(events, "health_check_retried")] == ["closed without a reply"]
        assert [event["why"] for event in named(events, "health_check_failed")] == failures

    run_loopback(serve, test)


@asynccontextmanager
async def established_session(proxy: LoopbackProxy) -> AsyncIterator[asyncio.StreamWriter]:
    reader, writer = await proxy.open_session()
    assert (await reader.readline()).startswith(b"UP")
    yield writer
    writer.close()
    await proxy.wait_until_idle()


def test_an_unread_eof_is_logged_with_its_session(events: Events, monkeypatch: pytest.MonkeyPatch) -> None:
    """An internal error is simulated in which the client is not read."""

    async def test(proxy: LoopbackProxy) -> None:
        may_read = asyncio.Event()
        receive = tcp.receive

        async def receive_late(sock: socket.socket, max_bytes: int) -> bytes:
            data = await receive(sock, max_bytes)
            await may_read.wait()
            return data

        monkeypatch.setattr(tcp, "receive", receive_late)
        may_read.set()
        detector = UnreadEofDetector(proxy.context)
        async with established_session(proxy) as writer:
            may_read.clear()
            writer.write(b"line\r\n")
            writer.write_eof()
            await asyncio.sleep(0.05)
            detector.check()
            assert not named(events, "end_unread")  # it may have been received just now
            detector.check()
            (event,) = named(events, "end_unread")
            assert (event["id"], event["side"], event["backend"]) == (FIRST_ID, PeerSide.CLIENT.value, "s")
            assert proxy.counters["ends_unread"] == 1
            may_read.set()

    run_loopback(serve_echo, test)


def test_sessions_without_an_unread_eof_are_not_logged(events: Events) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        detector = UnreadEofDetector(proxy.context)
        async with established_session(proxy):
            for _ in range(3):
                detector.check()
        detector.check()
        assert not named(events, "end_unread")

    run_loopback(serve_echo, test)
