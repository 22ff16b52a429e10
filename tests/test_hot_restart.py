"""Hot restart: the inherited socket, the live processes and which of them accepts; with real processes on loopback."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest

from stoatgw.clock import Clock
from stoatgw.config.deployment import Address
from stoatgw.config.errors import ConfigError
from stoatgw.hot_restart.handover import (
    ENDPOINT_LIST_WAIT_US,
    LOAD_LEARNING_US,
    is_newer_sibling_accepting,
    may_start_accepting,
)
from stoatgw.hot_restart.hot_restart import HotRestart
from stoatgw.hot_restart.sibling_processes import ProcessRecord, SiblingProcesses
from stoatgw.hot_restart.socket_activation import adopt_listening_socket
from stoatgw.service.periodic import run_periodically
from stoatgw.telemetry.log import EventLog
from tests.proxy_process import free_port, next_event, start_discovery, write_config
from tests.test_discovery import entry, page
from tests.test_service import make_core
from tests.test_sessions import serve_echo


@pytest.fixture
def listening_socket() -> Iterator[socket.socket]:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield sock


def test_an_inherited_socket_is_checked_and_one_line_names_the_field(listening_socket: socket.socket) -> None:
    listen_address = Address(*listening_socket.getsockname())
    assert not adopt_listening_socket(str(os.dup(listening_socket.fileno())), listen_address).getblocking()
    datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    not_listening = socket.socket()
    for number, address in (
        ("4x", listen_address),
        ("-1", listen_address),
        ("99999", listen_address),
        (str(os.open("/dev/null", 0)), listen_address),
        (str(datagram.fileno()), listen_address),
        (str(not_listening.fileno()), listen_address),
        (str(listening_socket.fileno()), Address("127.0.0.1", 1)),
    ):
        with pytest.raises(ConfigError, match=r"^LB_LISTEN_FD: [^\n]+$"):
            adopt_listening_socket(number, address)
    assert listening_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)  # it still listens


def test_only_live_processes_are_found(tmp_path: Path) -> None:
    processes = SiblingProcesses(tmp_path)
    processes.join(ProcessRecord(is_accepting=False, since_us=1, descriptors=0))
    (tmp_path / "stoatgw-process-7.lock").write_bytes(b"left behind")
    (tmp_path / "stoatgw-process-9.lock").write_bytes(b"cut")
    sibling = os.open(tmp_path / "stoatgw-process-9.lock", os.O_RDWR)
    fcntl.flock(sibling, fcntl.LOCK_EX)
    assert processes.read_siblings() == [ProcessRecord(is_accepting=False, since_us=0, descriptors=0)]
    assert not (tmp_path / "stoatgw-process-7.lock").exists()
    os.close(sibling)
    assert processes.read_siblings() == []
    processes.leave()
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize(
    ("first_update_us", "has_endpoints", "now_us", "expected"),
    [
        (None, True, ENDPOINT_LIST_WAIT_US - 1, False),
        (None, True, ENDPOINT_LIST_WAIT_US, True),
        (None, False, 9 * ENDPOINT_LIST_WAIT_US, False),
        (5, True, LOAD_LEARNING_US, False),
        (5, True, LOAD_LEARNING_US + 5, True),
    ],
)
def test_a_process_takes_over_once_it_knows_the_servers(
    first_update_us: int | None, has_endpoints: bool, now_us: int, expected: bool
) -> None:
    assert may_start_accepting(0, first_update_us, has_endpoints=has_endpoints, now_us=now_us) == expected


def test_the_process_that_began_to_accept_last_accepts_alone() -> None:
    old = ProcessRecord(is_accepting=True, since_us=1, descriptors=0)
    new = ProcessRecord(is_accepting=True, since_us=2, descriptors=0)
    waiting = ProcessRecord(is_accepting=False, since_us=2, descriptors=0)
    assert is_newer_sibling_accepting(old, [new])
    assert not is_newer_sibling_accepting(new, [old])
    assert not is_newer_sibling_accepting(old, [waiting])


@pytest.mark.parametrize("step_us", [-3_600_000_000, 0, 3_600_000_000])
def test_the_process_that_takes_over_accepts_alone_after_the_system_clock_was_stepped(
    step_us: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a new process that yields to the old one, as its clock is behind, and then is ended with no other.
    old_since_us = Clock().now_us()
    core = make_core()
    monkeypatch.setattr(core.context.clock, "_offset_ns", core.context.clock._offset_ns + step_us * 1000)
    new = HotRestart(str(tmp_path), core.context, core.listener, core.discovery.publisher)
    old_record = ProcessRecord(is_accepting=True, since_us=old_since_us, descriptors=0)
    monkeypatch.setattr(SiblingProcesses, "read_siblings", lambda self: [old_record])
    new.start()
    assert not new.is_accepting
    monkeypatch.setattr(core.discovery.publisher, "first_update_us", 1)
    new.poll()
    assert new.is_accepting
    new.poll()
    assert new.is_accepting
    assert is_newer_sibling_accepting(old_record, [ProcessRecord.decode(new_record_bytes(tmp_path))])
    new.stop()


def new_record_bytes(folder: Path) -> bytes:
    return (folder / f"stoatgw-process-{os.getpid()}.lock").read_bytes()


class Platform:
    """Owns the listening socket, runs discovery and a session server, and starts processes of one proxy."""

    def __init__(self, folder: Path, listening_socket: socket.socket) -> None:
        self.folder = folder
        self.listening_socket = listening_socket
        self.clients_started = 0
        self.processes: list[asyncio.subprocess.Process] = []
        (folder / "tmp").mkdir()

    async def start_services(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if (await reader.readline()).startswith(b"OPEN"):
                await serve_echo(reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.server_address = f"127.0.0.1:{port}"
        endpoints = json.dumps(page(entry(hostPort=self.server_address))).encode() + b"\n"
        discovery = await start_discovery(endpoints)
        host, port = self.listening_socket.getsockname()
        self.config_path = self.folder / "config.json"
        write_config(self.config_path, listen=f"{host}:{port}", discovery=discovery.address)

    async def start_process(self) -> tuple[asyncio.subprocess.Process, int]:
        """Start a process and wait for its `ready` event; return it with the port of its management address."""
        port = free_port()
        descriptor = self.listening_socket.fileno()
        variables = {
            "LB_CONFIG": str(self.config_path),
            "LB_MANAGEMENT": f"127.0.0.1:{port}",
            "LB_LISTEN_FD": str(descriptor),
            "TMPDIR": str(self.folder / "tmp"),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "stoatgw", env=os.environ | variables, stdout=-1, pass_fds=[descriptor]
        )
        self.processes.append(process)
        assert process.stdout is not None
        await next_event(process.stdout, "ready")
        return process, port

    async def send_operation(self, port: int, path: str, method: str = "POST") -> tuple[int, str]:
        """Send a request to the management address; return the status and body of its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body.decode()

    async def wait_for_readiness(self, port: int) -> None:
        while (await self.send_operation(port, "/v1/readyz", "GET"))[0] != 200:
            await asyncio.sleep(0.02)

    async def send_line(self, request: bytes) -> tuple[bytes, asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request line as a client; return the first line of the answer and the connection."""
        reader, writer = await asyncio.open_connection(*self.listening_socket.getsockname())
        writer.write(request)
        return await reader.readline(), reader, writer

    async def run_client(self) -> bytes:
        """Run a client until its connection ends; return the last line that it received."""
        self.clients_started += 1
        last_line, reader, _ = await self.send_line(open_line(self.clients_started))
        while last_line.startswith(b"UP") and (line := await reader.readline()):
            last_line = line
        return last_line


def open_line(number: int) -> bytes:
    return b"OPEN %016x 1 c=chat,d=2000\r\n" % number


async def run_take_over(platform: Platform) -> None:
    old, port = await platform.start_process()
    await platform.wait_for_readiness(port)
    clients = [asyncio.ensure_future(platform.run_client()) for _ in range(5)]
    # A client that connects before the handover and sends its request after it has to be served.
    early = await asyncio.open_connection(*platform.listening_socket.getsockname())
    await asyncio.sleep(0.1)
    new, port = await platform.start_process()
    await platform.wait_for_readiness(port)
    old.send_signal(signal.SIGTERM)
    assert old.stdout is not None
    assert (await next_event(old.stdout, "shutdown_started"))["handed_over"] is True
    more = [asyncio.ensure_future(platform.run_client()) for _ in range(12)]
    early[1].write(open_line(99))
    assert (await early[0].readline()).startswith(b"UP")
    assert await early[0].readline() == b"MOVE\r\n"
    assert (await next_event(old.stdout, "proxy_stopped"))[
        "connections"
    ] == 6  # the other process accepted all later ones
    assert await old.wait() == 0
    assert [await each for each in clients] == [b"MOVE\r\n"] * 5
    assert (await platform.send_line(b"PING\r\n"))[0] == b"PONG\r\n"
    # A third process is killed before it takes over: the one that serves continues.
    third, _ = await platform.start_process()
    third.kill()
    await third.wait()
    assert (await platform.send_line(open_line(98)))[0].startswith(b"UP")
    new.send_signal(signal.SIGTERM)
    assert await new.wait() == 0
    assert [await each for each in more] == [b"MOVE\r\n"] * 12


PlatformTest = Callable[[Platform], Awaitable[None]]


@pytest.fixture
def run_on_platform(tmp_path: Path, listening_socket: socket.socket) -> Callable[[PlatformTest], None]:
    async def run(test: PlatformTest) -> None:
        platform = Platform(tmp_path, listening_socket)
        await platform.start_services()
        async with asyncio.timeout(40):
            await test(platform)

    return lambda test: asyncio.run(run(test))


def test_a_second_process_takes_over_and_no_client_is_lost(run_on_platform: Callable[[PlatformTest], None]) -> None:
    run_on_platform(run_take_over)


def test_a_drained_proxy_migrates_all_and_serves_again_once_activated(
    run_on_platform: Callable[[PlatformTest], None],
) -> None:
    async def test(platform: Platform) -> None:
        process, port = await platform.start_process()
        await platform.wait_for_readiness(port)
        clients = [asyncio.ensure_future(platform.run_client()) for _ in range(5)]
        await asyncio.sleep(0.1)
        for _ in range(2):
            assert (await platform.send_operation(port, "/v1/proxy/drain"))[0] == 200
        assert (await platform.send_line(b"PING\r\n"))[0] == b"BUSY\r\n"
        assert (await platform.send_operation(port, "/v1/readyz", "GET"))[0] == 503
        assert [await each for each in clients] == [b"MOVE\r\n"] * 5
        assert (await platform.send_operation(port, "/v1/proxy/activate"))[0] == 200
        assert (await platform.send_line(b"PING\r\n"))[0] == b"PONG\r\n"
        assert (await platform.send_line(open_line(9)))[0].startswith(b"UP")
        await platform.send_operation(port, "/v1/proxy/drain")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run_on_platform(test)


def test_a_suspension_persists_across_a_hot_restart_until_the_server_is_resumed(
    run_on_platform: Callable[[PlatformTest], None],
) -> None:
    async def test(platform: Platform) -> None:
        old, old_port = await platform.start_process()
        await platform.wait_for_readiness(old_port)
        assert (await platform.send_operation(old_port, "/v1/session-servers/s-9/suspend"))[0] == 404
        assert (await platform.send_operation(old_port, "/v1/session-servers/s-1/suspend"))[0] == 200
        assert "proxy.targets_disabled:1|g" in (await platform.send_operation(old_port, "/v1/metrics", "GET"))[1]
        new, new_port = await platform.start_process()
        await platform.wait_for_readiness(new_port)
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        for keyword, operation in ((b"BUSY", "suspend"), (b"UP", "resume")):
            for _ in range(2):
                assert (await platform.send_operation(new_port, f"/v1/session-servers/s-1/{operation}"))[0] == 200
            platform.clients_started += 1
            answer, _, _ = await platform.send_line(open_line(platform.clients_started))
            assert answer.startswith(keyword)
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0

    run_on_platform(test)


def test_a_process_killed_at_any_point_leaves_one_that_serves(run_on_platform: Callable[[PlatformTest], None]) -> None:
    async def test(platform: Platform) -> None:
        first, port = await platform.start_process()
        await platform.wait_for_readiness(port)
        second, port = await platform.start_process()
        first.kill()  # before the second process accepts
        await platform.wait_for_readiness(port)
        third, port = await platform.start_process()
        await platform.wait_for_readiness(port)
        second.send_signal(signal.SIGTERM)
        second.kill()  # while it migrates its sessions
        fourth, port = await platform.start_process()  # the next hot restart follows immediately
        await platform.wait_for_readiness(port)
        third.send_signal(signal.SIGTERM)
        assert await third.wait() == 0
        assert (await platform.send_line(open_line(7)))[0].startswith(b"UP")
        fourth.kill()
        for each in (first, second, fourth):
            await each.wait()

    run_on_platform(test)


def test_a_process_runs_without_a_usable_state_folder(run_on_platform: Callable[[PlatformTest], None]) -> None:
    async def test(platform: Platform) -> None:
        (platform.folder / "tmp").rmdir()  # TMPDIR names a folder that no longer exists
        process, port = await platform.start_process()
        await platform.wait_for_readiness(port)
        assert (await platform.send_operation(port, "/v1/session-servers/s-1/suspend"))[0] == 500
        await platform.send_operation(port, "/v1/proxy/drain")
        process.send_signal(signal.SIGHUP)  # a reload does not affect a drain
        assert (await platform.send_operation(port, "/v1/readyz", "GET"))[0] == 503
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run_on_platform(test)


def test_a_periodic_action_is_repeated_after_an_exception() -> None:
    async def run() -> int:
        runs = 0

        def fail() -> None:
            nonlocal runs
            runs += 1
            raise RuntimeError("broken")

        task = asyncio.get_running_loop().create_task(run_periodically(0, fail, EventLog("test")))
        while runs < 3:
            await asyncio.sleep(0)
        assert not task.done()
        task.cancel()
        return runs

    assert asyncio.run(run()) >= 3
