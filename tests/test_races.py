"""Races of two events, each forced into the order that fails without its guard. docs/crossings.md lists them all."""

from __future__ import annotations

import asyncio
import errno
import socket
from enum import Enum, auto
from typing import Any

import pytest
import uvloop

from stoatgw.backends.attempt import Attempt
from stoatgw.backends.backend import Backend
from stoatgw.clients.descriptor_limiter import RESERVED_DESCRIPTORS, DescriptorLimiter
from stoatgw.clock import Clock
from stoatgw.controller.attempts import KEY_EXPIRY_MARGIN_US
from stoatgw.controller.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptEstablished,
    AttemptStage,
    BeginDrain,
    Message,
    RequestReceived,
    RequestState,
    RequestTimedOut,
)
from stoatgw.decisions.interface import AttemptStatus, Idempotency, KeyScope, RequestClass, Settings
from stoatgw.sockets import tcp, watches
from tests.balancer_harness import settings
from tests.controller_harness import ControllerHarness, run_with_harness
from tests.failing_calls import fail_calls
from tests.test_sessions import OPEN, LoopbackProxy, Streams, run_loopback, serve_echo

LINE = b"OPEN 0000000000000001 1 c=chat,d=2000\r\n"


async def read_to_end(streams: Streams) -> bytes:
    """Read until the proxy closes the connection, and return the data; a reset is an error."""
    reader, writer = streams
    data = await reader.read()
    writer.close()
    return data


def test_a_deadline_processed_together_with_up_gives_no_second_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """UP is in flight when the controller finds the deadline passed: no ERR follows, and the session stays open."""

    async def test(proxy: LoopbackProxy) -> None:
        post = proxy.controller.post

        def post_after_deadline(message: Message) -> None:
            if isinstance(message, AttemptEstablished):
                post(RequestTimedOut(message.state))
            post(message)

        monkeypatch.setattr(proxy.controller, "post", post_after_deadline)
        reader, writer = await proxy.open_session()
        assert await reader.readline() == b"UP 77\r\n"
        writer.write(b"still here\r\nEND\r\n")
        assert await reader.read() == b"still here\r\nBYE\r\n"
        writer.close()
        await proxy.wait_until_idle()
        assert not proxy.controller._decisions._policy._context.counts.setups_in_flight  # type: ignore[attr-defined]

    run_loopback(serve_echo, test)


def test_an_answer_sent_while_up_is_received_is_the_only_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        open_attempt = Attempt.open

        async def fail_once_established(self: Attempt, *args: Any) -> AttemptEnd | None:
            end = await open_attempt(self, *args)
            next(iter(proxy.controller._requests._states.values())).handler.fail()
            return end

        monkeypatch.setattr(Attempt, "open", fail_once_established)
        assert await read_to_end(await proxy.open_session()) == b"ERR failed\r\n"
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


class PartialSendSocket(socket.socket):
    """Sends four bytes at a time, with a BlockingIOError in between; calls `on_last_byte` after the last byte."""

    on_last_byte: Any = None
    unsent_bytes = len(LINE)

    def send(self, data: Any, flags: int = 0) -> int:
        if self.unsent_bytes % 2:
            self.unsent_bytes -= 1
            raise BlockingIOError
        count = super().send(bytes(data)[:4])
        self.unsent_bytes -= count
        if count == len(data):
            self.on_last_byte()
        return count


class StoppedClock(Clock):
    def now_us(self) -> int:
        return 0


@pytest.mark.parametrize("is_cancelled", [True, False])
def test_a_request_whose_last_byte_is_sent_as_its_attempt_is_interrupted_may_have_run(
    is_cancelled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        sock = PartialSendSocket()
        sock.setblocking(False)
        monkeypatch.setattr(tcp, "create_socket", lambda: sock)
        attempt = Attempt(Backend("s", "127.0.0.1", port), StoppedClock(), 10**6, 0, lambda row: (), lambda: None)
        task = asyncio.create_task(attempt.open(lambda _: LINE, 200_000))
        sock.on_last_byte = task.cancel if is_cancelled else lambda: None
        await asyncio.wait([task])
        if not is_cancelled:
            assert task.result() == AttemptEnd(AttemptStatus.EXPIRED, AttemptStage.SENT, "timed out")
        assert attempt.stage is AttemptStage.SENT
        attempt.close()
        server.close()

    uvloop.run(test())


def test_a_retry_whose_connection_is_made_after_its_window_is_not_sent() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        backend = proxy.backends.get("s")
        assert backend is not None
        now_us = proxy.clock.now_us()
        attempt = Attempt(backend, proxy.clock, 10**6, 0, lambda row: (), lambda: None)
        end = await attempt.open(lambda _: LINE, now_us + 10**6, now_us)
        assert end is not None
        assert (end.status, end.stage) == (AttemptStatus.DIAL_FAILED, AttemptStage.CONNECTING)
        attempt.close()
        while not proxy.forwarded_requests:
            await asyncio.sleep(0.01)
        assert proxy.forwarded_requests == [b""]

    run_loopback(serve, test)


def settings_with(idempotency: Idempotency, key_scope: KeyScope = KeyScope.ALL, **changes: Any) -> Settings:
    """Return settings whose classes all have this idempotency, with keys that are valid for 0.5 s."""
    request_class = RequestClass(300_000, 2_000_000, 1.0, idempotency, key_scope, 500_000)
    return settings(profiles=(request_class, request_class), **changes)


class FinalEvent(Enum):
    """What ends the wait for an answer while an attempt is in flight, or before one was started."""

    NONE = auto()
    DEADLINE = auto()
    DRAIN = auto()


def run_request(
    config: Settings, *statuses: AttemptStatus, final_event: FinalEvent = FinalEvent.NONE
) -> tuple[RequestState, list[Any]]:
    """Run a request whose attempts end with these statuses in turn; return its state and the calls of its handler."""
    results: list[tuple[RequestState, list[Any]]] = []

    async def test(harness: ControllerHarness) -> None:
        await harness.list_servers(*"abcdefghijkl")
        state, handler = harness.new_request()
        await harness.deliver(RequestReceived(state))
        for number, status in enumerate(statuses):
            await harness.deliver(AttemptEnded(state, number, AttemptEnd(status, AttemptStage.SENT)))
        if final_event is FinalEvent.DEADLINE:
            await harness.deliver(RequestTimedOut(state))
        elif final_event is FinalEvent.DRAIN:
            await harness.deliver(BeginDrain(400_000, 100_000))
        results.append((state, handler.calls))

    run_with_harness(test, config)
    return results[0]


def test_a_retry_of_a_dedup_request_has_to_start_within_its_window() -> None:
    state, _ = run_request(settings_with(Idempotency.DEDUP), AttemptStatus.DROPPED)
    assert state.first_run_us is not None
    assert state.retry_before_us == state.first_run_us + 500_000 - KEY_EXPIRY_MARGIN_US


def test_a_dedup_request_whose_first_attempt_never_ran_has_no_window() -> None:
    state, _ = run_request(settings_with(Idempotency.DEDUP), AttemptStatus.DIAL_FAILED)
    assert state.retry_before_us == 0


@pytest.mark.parametrize(
    ("config", "statuses", "final_event", "answer"),
    [
        (settings_with(Idempotency.FRAGILE), [AttemptStatus.DROPPED], FinalEvent.NONE, "fail"),
        (
            settings_with(Idempotency.FRAGILE),
            [AttemptStatus.DIAL_FAILED, AttemptStatus.SHED],
            FinalEvent.NONE,
            "reject",
        ),
        # An attempt is in flight.
        (settings_with(Idempotency.FRAGILE), [AttemptStatus.DIAL_FAILED], FinalEvent.DEADLINE, "fail"),
        (settings_with(Idempotency.FRAGILE), [AttemptStatus.DIAL_FAILED], FinalEvent.DRAIN, "fail"),
        # The request waits for health checks, and was never forwarded.
        (settings_with(Idempotency.FRAGILE, balancers=40), [], FinalEvent.DRAIN, "reject"),
        (settings_with(Idempotency.FRAGILE, balancers=40), [], FinalEvent.DEADLINE, "reject"),
        (
            settings_with(Idempotency.DEDUP, KeyScope.ZONE),
            [AttemptStatus.DROPPED, AttemptStatus.DROPPED],
            FinalEvent.NONE,
            "fail",
        ),
        (settings_with(Idempotency.DEDUP, KeyScope.CELL), [AttemptStatus.EXPIRED], FinalEvent.DRAIN, "fail"),
        (settings_with(Idempotency.DEDUP), [AttemptStatus.EXPIRED], FinalEvent.DRAIN, "reject"),
        (settings_with(Idempotency.RETRYABLE), [AttemptStatus.EXPIRED], FinalEvent.DRAIN, "reject"),
    ],
)
def test_a_request_is_rejected_only_if_it_cannot_have_run_or_a_repeat_is_harmless(
    config: Settings, statuses: list[AttemptStatus], final_event: FinalEvent, answer: str
) -> None:
    _, calls = run_request(config, *statuses, final_event=final_event)
    assert (calls[-1] if calls[-1] == "fail" else calls[-1][0]) == answer


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_proxy_without_free_descriptors_rejects_requests_and_avoids_no_server(
    idempotency: Idempotency, monkeypatch: pytest.MonkeyPatch
) -> None:
    def create_socket() -> socket.socket:
        raise OSError(errno.EMFILE, "none left")

    async def test(proxy: LoopbackProxy) -> None:
        proxy.controller._decisions._policy._context.settings = settings_with(idempotency)  # type: ignore[attr-defined]
        monkeypatch.setattr(tcp, "create_socket", create_socket)
        assert (await read_to_end(await proxy.open_session())).startswith(b"BUSY")
        assert proxy.controller.avoided_servers() == []
        await proxy.wait_until_idle()

    run_loopback(serve_echo, test)


def test_the_last_lines_of_a_client_are_delivered_while_the_lines_of_its_server_are_unread() -> None:
    has_received = asyncio.Event()
    lines: list[bytes] = []

    async def serve_flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP 77\r\n" + b"x" * 10_000_000 + b"\r\n")
        await asyncio.sleep(0.3)  # the server reads late
        lines.append(await reader.readline())
        has_received.set()
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.open_session()
        assert await reader.readline() == b"UP 77\r\n"
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.1)
        writer.write(b"my last words\r\n")
        writer.write_eof()
        await has_received.wait()
        writer.close()
        assert lines == [b"my last words\r\n"]
        await proxy.wait_until_idle()

    run_loopback(serve_flood, test)


def test_a_request_sent_as_its_idle_connection_is_closed_is_rejected_without_a_reset() -> None:
    async def test(proxy: LoopbackProxy) -> None:
        loop = asyncio.get_running_loop()
        proxy.context.descriptor_limiter = DescriptorLimiter(RESERVED_DESCRIPTORS + 4)
        first = socket.create_connection(("127.0.0.1", proxy.port))
        first.setblocking(False)
        while not proxy.context.descriptor_limiter._idle_connections:
            await asyncio.sleep(0.01)
        second = await proxy.connect()
        await watches.wait_readable(first)  # its descriptor was needed: BUSY was received, and is unread
        await asyncio.sleep(0.02)
        await loop.sock_sendall(first, OPEN % 99)
        await asyncio.sleep(0.02)
        answers = [await loop.sock_recv(first, 100) for _ in range(2)]
        assert answers == [b"BUSY\r\n", b""]
        await loop.sock_sendall(first, b"and more\r\n")  # a reset would be an error here
        first.close()
        second[1].close()
        await proxy.wait_until_idle()
        assert proxy.forwarded_requests == []

    run_loopback(serve_echo, test)


@pytest.mark.parametrize("error", ["", "EINTR", "EAGAIN", "ENOBUFS", "ECONNABORTED"])
def test_a_connection_in_the_backlog_is_answered_when_the_process_ends(
    error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    if error:
        fail_calls(monkeypatch, "accept", error)

    async def test(proxy: LoopbackProxy) -> None:
        proxy.controller.post(BeginDrain(0, 0))
        proxy.listener.set_accepting(False)
        await asyncio.sleep(0.05)
        waiting = await proxy.open_session()
        await proxy.listener.close()
        assert (await read_to_end(waiting)).startswith(b"BUSY")
        with pytest.raises(ConnectionRefusedError):
            await proxy.connect()

    run_loopback(serve_echo, test)


def test_a_connection_closed_immediately_gets_its_last_line_even_if_sending_fails_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fail_calls(monkeypatch, "send", "ENOBUFS")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        proxy_sock = socket.create_connection(listener.getsockname())
        client_sock, _ = listener.accept()
        proxy_sock.setblocking(False)
        with client_sock:
            proxy_sock.send(b"PONG\r\n")
            tcp.send_and_close(proxy_sock, b"BUSY\r\n")
            assert client_sock.makefile("rb").read() == b"PONG\r\nBUSY\r\n"


def test_an_idle_connection_that_its_server_closes_during_a_health_check_is_replaced() -> None:
    """Guards against treating a healthy server as unresponsive, and avoiding it for 5 s."""
    connections: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(1)
        writer.write(b"PONG x0=0.5,inflight=7\r\n")
        if len(connections) == 1:
            await reader.readline()  # the second health check: closed without a reply
            writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        assert await proxy.check_health_twice() == 2
        assert len(connections) == 2

    run_loopback(serve, test)


def test_no_request_is_sent_for_a_client_that_disconnects_during_the_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(proxy: LoopbackProxy) -> None:
        open_attempt = Attempt.open
        has_begun = asyncio.Event()
        may_connect = asyncio.Event()

        async def open_late(self: Attempt, *args: Any) -> AttemptEnd | None:
            has_begun.set()
            await may_connect.wait()
            return await open_attempt(self, *args)

        monkeypatch.setattr(Attempt, "open", open_late)
        _, writer = await proxy.open_session()
        await has_begun.wait()
        writer.close()
        await proxy.wait_until_idle()
        may_connect.set()
        await asyncio.sleep(0.05)
        assert proxy.forwarded_requests == []

    run_loopback(serve_echo, test)
