"""Wherever the proxy waits on a socket: an end that is told once is read, and a call may fail for a moment.

The event loop drops the watches of a connection that breaks. Each place that reads gets a reset in one turn with half
a message, and reads it at once, not at its timeout; in a second run of each, that read fails for a moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterator

import pytest
import uvloop

from stoatgw.clients.session_monitor import SessionMonitor
from stoatgw.config.deployment import Address
from stoatgw.discovery.watch_call import WatchCall
from stoatgw.management.listener import ManagementListener
from stoatgw.membership.client import CallFailure, CoordinationClient
from stoatgw.sockets import socket_state, tcp, watches
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.failing_calls import FailingSocket, fail_calls
from tests.test_management import StubManagementApi
from tests.test_session_crossings import FLOOD
from tests.test_sessions import LoopbackProxy, run_loopback, serve_echo

NEVER_S = 60.0  # a timeout that the tests' own comes before
MOMENTARY = ["EINTR", "EAGAIN", "ENOBUFS", "ENOMEM"]


@pytest.fixture(params=["", *MOMENTARY])
def failing_recv(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Has the read of each connection's end fail once, or not at all."""
    if request.param:
        fail_calls(monkeypatch, "recv", request.param)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):  # reached by a wait that has no end
            await test()

    uvloop.run(bounded())


@contextlib.contextmanager
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


async def break_off(listener: socket.socket, data: bytes) -> None:
    """Accepts a connection, reads, and then sends bytes and resets the connection in one step."""
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    peer, _ = await loop.sock_accept(listener)
    await loop.sock_recv(peer, 4096)
    peer.send(data)
    tcp.close(peer, reset=True)


@pytest.mark.usefixtures("failing_recv")
def test_a_watch_of_the_list_that_breaks_off() -> None:
    async def test() -> None:
        with listening() as listener:
            breaking = asyncio.create_task(break_off(listener, b"HTTP/1.1 200 OK\r\n"))
            with pytest.raises(ConnectionResetError):
                await WatchCall(lambda _call, _item: True).receive(Address(*listener.getsockname()), None)
            await breaking

    run(test)


@pytest.mark.usefixtures("failing_recv")
def test_a_call_of_the_coordination_engine_that_breaks_off() -> None:
    async def test() -> None:
        with listening() as listener:
            breaking = asyncio.create_task(break_off(listener, b"HTTP/1.1 200 OK\r\n"))
            result = await CoordinationClient([Address(*listener.getsockname())], NEVER_S).call("/v3/kv/range", {})
            assert isinstance(result, CallFailure)
            assert "ConnectionResetError" in result.reason
            await breaking

    run(test)


def test_a_call_of_the_coordination_engine_whose_connection_times_out_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel gives the connection up once the call is sent: carried out elsewhere, it could happen twice."""
    fail_calls(monkeypatch, "recv", "ETIMEDOUT")

    async def test() -> None:
        with listening() as listener:
            breaking = asyncio.create_task(break_off(listener, b"HTTP/1.1 200 OK\r\n"))
            result = await CoordinationClient([Address(*listener.getsockname())], NEVER_S).call("/v3/kv/txn", {})
            assert isinstance(result, CallFailure)
            assert result.may_have_run
            await breaking

    run(test)


@pytest.mark.usefixtures("failing_recv")
def test_an_operators_call_that_breaks_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stoatgw.management.listener.REQUEST_TIMEOUT_S", NEVER_S)

    async def test() -> None:
        listener = ManagementListener(StubManagementApi(), EventLog("test"), Counters())
        listener.bind(Address("127.0.0.1", 0))
        running = asyncio.create_task(listener.run())
        with socket.create_connection(("127.0.0.1", listener.bound_port)) as operator:
            while not listener._connections:
                await asyncio.sleep(0.01)
            operator.send(b"GET /v1/re")
            tcp.close(operator, reset=True)
        while listener._connections:
            await asyncio.sleep(0.01)
        running.cancel()

    run(test)


@pytest.mark.usefixtures("failing_recv")
def test_a_health_check_that_breaks_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stoatgw.backends.health_check.HEALTH_CHECK_TIMEOUT_S", NEVER_S)

    async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = socket.socket(fileno=writer.get_extra_info("socket").fileno())
        peer.send(b"PON")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, tcp._LINGER_RESET)
        peer.detach()
        writer.transport.abort()

    async def test(proxy: LoopbackProxy) -> None:
        await proxy.check_health_twice()
        assert proxy.counters["health_checks_dropped"] == 2

    run_loopback(serve, test)


def test_a_client_that_resets_while_its_server_takes_nothing() -> None:
    """Its bytes are not read meanwhile, and so neither is its end."""
    has_ended = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP 77\r\n")
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        while not proxies[0].context.counters["sessions_client_disconnected"]:
            await asyncio.sleep(0.01)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        with contextlib.suppress(ConnectionResetError):
            while await reader.read(1 << 20):
                pass
        has_ended.set()
        writer.close()

    async def test(proxy: LoopbackProxy) -> None:
        proxies.append(proxy)
        reader, writer = await proxy.open_session()
        assert await reader.readline() == b"UP 77\r\n"
        writer.write(FLOOD)
        while not proxy.only_relay._is_sending_to_server:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert proxy.only_relay._is_sending_to_server
        monitor = SessionMonitor(proxy.context)
        monitor.check_sessions(reports_latency=False)
        assert not proxy.only_relay._state.has_ended  # it has not reset its connection yet
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, tcp._LINGER_RESET)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        monitor.check_sessions(reports_latency=False)
        assert not proxy.only_relay._state.has_ended  # its server may only be slow, and its last lines still wait
        monitor.check_sessions(reports_latency=False)
        await has_ended.wait()
        await proxy.wait_until_idle()

    proxies: list[LoopbackProxy] = []
    run_loopback(serve, test)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        *itertools.product(["accept", "connect", "setsockopt"], MOMENTARY),
        ("connect", "EADDRNOTAVAIL"),
        ("connect", "ENETUNREACH"),
    ],
)
def test_clients_are_served_though_a_call_of_the_start_fails_once(
    call: str, error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_calls(monkeypatch, call, error)

    async def test(proxy: LoopbackProxy) -> None:
        reader, writer = await proxy.open_session()
        assert await reader.readline() == b"UP 77\r\n"
        writer.write(b"END\r\n")
        assert (await reader.read()).startswith(b"BYE")
        writer.close()
        await proxy.wait_until_idle()
        assert proxy.counters["attempts"] == 1
        assert proxy.controller.avoided_servers() == []

    run_loopback(serve_echo, test)


@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "ENOMEM"])
def test_a_socket_that_cannot_be_created_for_a_moment_is_created_all_the_same(
    error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_calls(monkeypatch, "socket", error)
    tcp.create_socket().close()
    monkeypatch.setattr(FailingSocket, "creations", 0)
    tcp.create_listener(("127.0.0.1", 0), 1).close()


@pytest.mark.parametrize("error", MOMENTARY)
@pytest.mark.parametrize("call", ["recv", "shutdown"])
def test_a_call_that_nobody_can_wait_for_is_repeated_at_once(
    call: str, error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_calls(monkeypatch, call, error)
    with listening() as listener, socket.create_connection(listener.getsockname()) as ours:
        theirs, _ = listener.accept()
        ours.setblocking(False)
        with theirs:
            theirs.send(b"UP 77\r\n")
            theirs.close()
            assert tcp.receive_nowait(ours, 100) == b"UP 77\r\n"
            tcp.shut_down(ours)
            assert ours.recv(100) == b""


def test_a_backlog_that_cannot_be_asked_for_does_not_end_the_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(_listener: socket.socket) -> bool:
        raise OSError(errno.ENOMEM, "no memory")

    async def test(proxy: LoopbackProxy) -> None:
        monkeypatch.setattr(socket_state, "has_backlog", fail)
        await proxy.listener.close()

    run_loopback(serve_echo, test)


def test_a_server_that_resets_as_it_accepts_is_not_connected_to_again() -> None:
    async def test() -> None:
        with listening() as listener:
            with tcp.open_socket() as sock:
                connecting = asyncio.create_task(tcp.connect(sock, listener.getsockname()))
                peer, _ = await asyncio.get_running_loop().sock_accept(listener)
                tcp.close(peer, reset=True)
                with contextlib.suppress(ConnectionResetError):  # if it comes before the task has run
                    await connecting
            listener.setblocking(False)
            await asyncio.sleep(0.05)
            with pytest.raises(BlockingIOError):
                listener.accept()

    run(test)


@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_socket_that_cannot_be_watched_for_a_moment_is_watched_later(
    error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        failures = [OSError(getattr(errno, error), "no memory")]
        add = watches.ReadableWatch._add

        def fail_first(self: watches.ReadableWatch, loop: asyncio.AbstractEventLoop) -> None:
            if failures:
                raise failures.pop()
            add(self, loop)

        monkeypatch.setattr(watches.ReadableWatch, "_add", fail_first)
        ours, theirs = socket.socketpair()
        with ours, theirs:
            ours.setblocking(False)
            loop.call_later(0.05, theirs.send, b"line\r\n")
            assert await tcp.receive(ours, 100) == b"line\r\n"

    run(test)


def test_a_write_may_wait_in_the_turn_in_which_a_break_is_told_to_a_reader() -> None:
    """The loop's entry of a broken socket is of no use until its watch is removed: a write would fail on it."""

    async def test() -> None:
        with listening() as listener:
            ours = socket.create_connection(listener.getsockname())
            theirs, _ = listener.accept()
            with ours:
                ours.setblocking(False)
                told = asyncio.get_running_loop().create_future()
                waiting: list[asyncio.Task[None]] = []
                told.add_done_callback(lambda _: waiting.append(asyncio.create_task(watches.wait_writable(ours))))
                reading = asyncio.create_task(watches.wait_readable(ours, told))
                await asyncio.sleep(0.01)
                tcp.close(theirs, reset=True)
                await reading
                await waiting[0]

    run(test)
