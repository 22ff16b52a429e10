"""All code that waits on a socket: a reset is read immediately, and calls with transient errors are retried.

The event loop drops the watches of a connection that breaks, after notifying them once. Each reader therefore gets a
reset together with half a message, and has to read both immediately, not after its timeout; in further runs that read
first fails with a transient error.
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
from tests.test_session_races import FLOOD
from tests.test_sessions import LoopbackProxy, run_loopback, serve_echo

LONG_TIMEOUT_S = 60.0  # longer than the tests' own timeout
TRANSIENT_ERRORS = ["EINTR", "EAGAIN", "ENOBUFS", "ENOMEM"]


@pytest.fixture(params=["", *TRANSIENT_ERRORS])
def failing_recv(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the read of each connection's end fail once with a transient error, or not at all."""
    if request.param:
        fail_calls(monkeypatch, "recv", request.param)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(10):  # exceeded if a wait never ends
            await test()

    uvloop.run(run_with_timeout())


@contextlib.contextmanager
def open_listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


async def send_and_reset(listener: socket.socket, data: bytes) -> None:
    """Accept a connection, read from it, then send data and reset the connection in one iteration of the loop."""
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    peer, _ = await loop.sock_accept(listener)
    await loop.sock_recv(peer, 4096)
    peer.send(data)
    tcp.close(peer, reset=True)


@pytest.mark.usefixtures("failing_recv")
def test_an_endpoint_list_watch_reads_a_reset_immediately() -> None:
    async def test() -> None:
        with open_listener() as listener:
            resetting = asyncio.create_task(send_and_reset(listener, b"HTTP/1.1 200 OK\r\n"))
            with pytest.raises(ConnectionResetError):
                await WatchCall(lambda _call, _item: True).receive(Address(*listener.getsockname()), None)
            await resetting

    run(test)


@pytest.mark.usefixtures("failing_recv")
def test_a_coordination_engine_call_reads_a_reset_immediately() -> None:
    async def test() -> None:
        with open_listener() as listener:
            resetting = asyncio.create_task(send_and_reset(listener, b"HTTP/1.1 200 OK\r\n"))
            result = await CoordinationClient([Address(*listener.getsockname())], LONG_TIMEOUT_S).call(
                "/v3/kv/range", {}
            )
            assert isinstance(result, CallFailure)
            assert "ConnectionResetError" in result.reason
            await resetting

    run(test)


def test_a_coordination_engine_call_whose_connection_times_out_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel times the connection out after the call was sent: repeated elsewhere, the call could run twice."""
    fail_calls(monkeypatch, "recv", "ETIMEDOUT")

    async def test() -> None:
        with open_listener() as listener:
            resetting = asyncio.create_task(send_and_reset(listener, b"HTTP/1.1 200 OK\r\n"))
            result = await CoordinationClient([Address(*listener.getsockname())], LONG_TIMEOUT_S).call("/v3/kv/txn", {})
            assert isinstance(result, CallFailure)
            assert result.may_have_run
            await resetting

    run(test)


@pytest.mark.usefixtures("failing_recv")
def test_a_management_request_reads_a_reset_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stoatgw.management.listener.REQUEST_TIMEOUT_S", LONG_TIMEOUT_S)

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
def test_a_health_check_reads_a_reset_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stoatgw.backends.health_check.HEALTH_CHECK_TIMEOUT_S", LONG_TIMEOUT_S)

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


def test_a_client_reset_is_noticed_while_its_server_reads_nothing() -> None:
    """The relay reads nothing from the client meanwhile, so that the session monitor has to notice the reset."""
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
        assert not proxy.only_relay._state.has_ended  # the client has not reset its connection yet
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, tcp._LINGER_RESET)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        monitor.check_sessions(reports_latency=False)
        assert not proxy.only_relay._state.has_ended  # its server may only be slow, and last lines are unsent
        monitor.check_sessions(reports_latency=False)
        await has_ended.wait()
        await proxy.wait_until_idle()

    proxies: list[LoopbackProxy] = []
    run_loopback(serve, test)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        *itertools.product(["accept", "connect", "setsockopt"], TRANSIENT_ERRORS),
        ("connect", "EADDRNOTAVAIL"),
        ("connect", "ENETUNREACH"),
    ],
)
def test_clients_are_served_if_a_call_that_starts_a_connection_fails_once(
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
def test_creating_a_socket_is_retried_after_a_transient_error(error: str, monkeypatch: pytest.MonkeyPatch) -> None:
    fail_calls(monkeypatch, "socket", error)
    tcp.create_socket().close()
    monkeypatch.setattr(FailingSocket, "creation_count", 0)
    tcp.create_listener(("127.0.0.1", 0), 1).close()


@pytest.mark.parametrize("error", TRANSIENT_ERRORS)
@pytest.mark.parametrize("call", ["recv", "shutdown"])
def test_a_call_whose_caller_cannot_wait_is_retried_immediately(
    call: str, error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_calls(monkeypatch, call, error)
    with open_listener() as listener, socket.create_connection(listener.getsockname()) as local:
        remote, _ = listener.accept()
        local.setblocking(False)
        with remote:
            remote.send(b"UP 77\r\n")
            remote.close()
            assert tcp.receive_nowait(local, 100) == b"UP 77\r\n"
            tcp.shut_down(local)
            assert local.recv(100) == b""


def test_a_failed_backlog_query_does_not_abort_closing_the_listener(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(_listener: socket.socket) -> bool:
        raise OSError(errno.ENOMEM, "no memory")

    async def test(proxy: LoopbackProxy) -> None:
        monkeypatch.setattr(socket_state, "has_backlog", fail)
        await proxy.listener.close()

    run_loopback(serve_echo, test)


def test_a_server_that_resets_when_it_accepts_gets_no_second_connection() -> None:
    async def test() -> None:
        with open_listener() as listener:
            with tcp.open_socket() as sock:
                connecting = asyncio.create_task(tcp.connect(sock, listener.getsockname()))
                peer, _ = await asyncio.get_running_loop().sock_accept(listener)
                tcp.close(peer, reset=True)
                with contextlib.suppress(ConnectionResetError):  # raised if the reset is received before the task runs
                    await connecting
            listener.setblocking(False)
            await asyncio.sleep(0.05)
            with pytest.raises(BlockingIOError):
                listener.accept()

    run(test)


@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_watching_a_socket_is_retried_after_a_transient_error(error: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        failures = [OSError(getattr(errno, error), "no memory")]
        add = watches.ReadableWatch._add

        def fail_first(self: watches.ReadableWatch, loop: asyncio.AbstractEventLoop) -> None:
            if failures:
                raise failures.pop()
            add(self, loop)

        monkeypatch.setattr(watches.ReadableWatch, "_add", fail_first)
        local, remote = socket.socketpair()
        with local, remote:
            local.setblocking(False)
            loop.call_later(0.05, remote.send, b"line\r\n")
            assert await tcp.receive(local, 100) == b"line\r\n"

    run(test)


def test_a_write_can_wait_in_the_iteration_that_notifies_a_reader_of_a_reset() -> None:
    """The loop's entry for a broken socket is unusable until its watch is removed: waiting to write would fail."""

    async def test() -> None:
        with open_listener() as listener:
            local = socket.create_connection(listener.getsockname())
            remote, _ = listener.accept()
            with local:
                local.setblocking(False)
                notified = asyncio.get_running_loop().create_future()
                waiting: list[asyncio.Task[None]] = []
                notified.add_done_callback(lambda _: waiting.append(asyncio.create_task(watches.wait_writable(local))))
                reading = asyncio.create_task(watches.wait_readable(local, notified))
                await asyncio.sleep(0.01)
                tcp.close(remote, reset=True)
                await reading
                await waiting[0]

    run(test)
