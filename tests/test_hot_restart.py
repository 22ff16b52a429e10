"""Two processes of one proxy: the inherited socket, who lives, who accepts; and real processes on loopback."""

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

from stoatgw.config.deployment import Address
from stoatgw.config.errors import ConfigError
from stoatgw.hot_restart.handover import LEARN_US, LIST_US, may_begin, newer
from stoatgw.hot_restart.sibling_processes import ProcessRecord, SiblingProcesses
from stoatgw.hot_restart.socket_activation import adopt
from stoatgw.service import run_periodically
from stoatgw.telemetry.log import EventLog
from tests.test_discovery import CONFIG, entry, page
from tests.test_reload import discovery, events
from tests.test_sessions import serve_echo


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield sock


def test_an_inherited_socket_is_checked_and_one_line_names_the_field(listening: socket.socket) -> None:
    here = Address(*listening.getsockname())
    assert not adopt(str(os.dup(listening.fileno())), here).getblocking()
    other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    deaf = socket.socket()
    for text, listen in (
        ("4x", here),
        ("-1", here),
        ("99999", here),
        (str(os.open("/dev/null", 0)), here),
        (str(other.fileno()), here),
        (str(deaf.fileno()), here),
        (str(listening.fileno()), Address("127.0.0.1", 1)),
    ):
        with pytest.raises(ConfigError, match=r"^LB_LISTEN_FD: [^\n]+$"):
            adopt(text, listen)
    assert listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)  # still as it was


def test_only_processes_that_live_are_seen(tmp_path: Path) -> None:
    mine = SiblingProcesses(tmp_path)
    mine.join(ProcessRecord(False, 1, 0))
    (tmp_path / "stoatgw-process-7.lock").write_bytes(b"left behind")
    (tmp_path / "stoatgw-process-9.lock").write_bytes(b"cut")
    other = os.open(tmp_path / "stoatgw-process-9.lock", os.O_RDWR)
    fcntl.flock(other, fcntl.LOCK_EX)
    assert mine.others() == [ProcessRecord(False, 0, 0)]
    assert not (tmp_path / "stoatgw-process-7.lock").exists()
    os.close(other)
    assert mine.others() == []
    mine.leave()
    assert list(tmp_path.iterdir()) == []


def test_who_begins_when_and_who_yields() -> None:
    assert not may_begin(0, None, True, LIST_US - 1) and may_begin(0, None, True, LIST_US)
    assert not may_begin(0, None, False, 9 * LIST_US) and not may_begin(0, 5, True, LEARN_US)
    assert may_begin(0, 5, True, LEARN_US + 5)
    old, new = ProcessRecord(True, 1, 0), ProcessRecord(True, 2, 0)
    assert newer(old, [new]) and not newer(new, [old]) and not newer(old, [ProcessRecord(False, 2, 0)])


class Platform:
    """Holds the clients' socket, discovery and a session server, and starts processes of one proxy."""

    def __init__(self, folder: Path, listening: socket.socket) -> None:
        self.folder, self.sock = folder, listening
        self.ids = 0
        (folder / "tmp").mkdir()

    async def begin(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if (await reader.readline()).startswith(b"OPEN"):
                await serve_echo(reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        listed = json.dumps(page(entry(hostPort=f"127.0.0.1:{port}"))).encode() + b"\n"
        _server, at, _asked = await discovery(listed)
        host, port = self.sock.getsockname()
        self.config = self.folder / "config.json"
        self.config.write_text(json.dumps(CONFIG | {"listen": f"{host}:{port}", "discovery": at}))

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """A process, and the port of its second address."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port: int = free.getsockname()[1]
        fd = self.sock.fileno()
        told = {
            "LB_CONFIG": str(self.config),
            "LB_MANAGEMENT": f"127.0.0.1:{port}",
            "LB_LISTEN_FD": str(fd),
            "TMPDIR": str(self.folder / "tmp"),
        }
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "stoatgw", env=os.environ | told, stdout=-1, pass_fds=[fd]
        )
        assert program.stdout is not None
        await events(program.stdout, "ready")
        return program, port

    async def ask(self, port: int, path: str, method: str = "POST") -> tuple[int, str]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body.decode()

    async def until(self, port: int, status: int) -> None:
        while (await self.ask(port, "/v1/readyz", "GET"))[0] != status:
            await asyncio.sleep(0.02)

    async def first(self, line: bytes) -> tuple[bytes, asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.sock.getsockname())
        writer.write(line)
        return await reader.readline(), reader, writer

    async def client(self) -> bytes:
        """One client from its request to the line that ends it."""
        self.ids += 1
        last, reader, _ = await self.first(b"OPEN %016x 1 c=chat,d=2000\r\n" % self.ids)
        while last.startswith(b"UP") and (line := await reader.readline()):
            last = line
        return last


async def take_over(platform: Platform) -> None:
    old, port = await platform.start()
    await platform.until(port, 200)
    clients = [asyncio.ensure_future(platform.client()) for _ in range(5)]
    # Connected before the change, asks after it: it may not end at the door.
    early = await asyncio.open_connection(*platform.sock.getsockname())
    await asyncio.sleep(0.1)
    new, port = await platform.start()
    await platform.until(port, 200)
    old.send_signal(signal.SIGTERM)
    assert old.stdout is not None
    assert (await events(old.stdout, "shutdown_started"))["handed_over"] is True
    more = [asyncio.ensure_future(platform.client()) for _ in range(12)]
    early[1].write(b"OPEN %016x 1 c=chat,d=2000\r\n" % 99)
    assert (await early[0].readline()).startswith(b"UP") and await early[0].readline() == b"MOVE\r\n"
    assert (await events(old.stdout, "proxy_stopped"))["connections"] == 6  # whoever came later is the other's
    assert await old.wait() == 0
    assert [await each for each in clients] == [b"MOVE\r\n"] * 5
    assert (await platform.first(b"PING\r\n"))[0] == b"PONG\r\n"
    # One more beside it that dies before its yes: the one that serves goes on.
    third, _ = await platform.start()
    third.kill()
    await third.wait()
    assert (await platform.first(b"OPEN %016x 1 c=chat,d=2000\r\n" % 98))[0].startswith(b"UP")
    new.send_signal(signal.SIGTERM)
    assert await new.wait() == 0
    assert [await each for each in more] == [b"MOVE\r\n"] * 12


Play = Callable[[Platform], Awaitable[None]]


@pytest.fixture
def play(tmp_path: Path, listening: socket.socket) -> Callable[[Play], None]:
    async def run(test: Play) -> None:
        platform = Platform(tmp_path, listening)
        await platform.begin()
        async with asyncio.timeout(40):
            await test(platform)

    return lambda test: asyncio.run(run(test))


def test_a_second_process_takes_over_and_nobody_is_lost(play: Callable[[Play], None]) -> None:
    play(take_over)


def test_a_drained_proxy_sends_all_away_and_serves_again_when_told(play: Callable[[Play], None]) -> None:
    async def test(platform: Platform) -> None:
        program, port = await platform.start()
        await platform.until(port, 200)
        clients = [asyncio.ensure_future(platform.client()) for _ in range(5)]
        await asyncio.sleep(0.1)
        for _ in range(2):
            assert (await platform.ask(port, "/v1/proxy/drain"))[0] == 200
        assert (await platform.first(b"PING\r\n"))[0] == b"BUSY\r\n"
        assert (await platform.ask(port, "/v1/readyz", "GET"))[0] == 503
        assert [await each for each in clients] == [b"MOVE\r\n"] * 5
        assert (await platform.ask(port, "/v1/proxy/activate"))[0] == 200
        assert (await platform.first(b"PING\r\n"))[0] == b"PONG\r\n"
        assert (await platform.first(b"OPEN %016x 1 c=chat,d=2000\r\n" % 9))[0].startswith(b"UP")
        await platform.ask(port, "/v1/proxy/drain")
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0

    play(test)


def test_a_ban_holds_over_an_upgrade_until_the_call_back(play: Callable[[Play], None]) -> None:
    async def test(platform: Platform) -> None:
        old, one = await platform.start()
        await platform.until(one, 200)
        assert (await platform.ask(one, "/v1/session-servers/s-9/suspend"))[0] == 404
        assert (await platform.ask(one, "/v1/session-servers/s-1/suspend"))[0] == 200
        assert "proxy.targets_disabled:1|g" in (await platform.ask(one, "/v1/metrics", "GET"))[1]
        new, two = await platform.start()
        await platform.until(two, 200)
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        for word, place in ((b"BUSY", "suspend"), (b"UP", "resume")):
            for _ in range(2):
                assert (await platform.ask(two, f"/v1/session-servers/s-1/{place}"))[0] == 200
            platform.ids += 1
            answer, _, _ = await platform.first(b"OPEN %016x 1 c=chat,d=2000\r\n" % platform.ids)
            assert answer.startswith(word)
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0

    play(test)


def test_a_process_killed_at_any_point_leaves_one_that_serves(play: Callable[[Play], None]) -> None:
    async def test(platform: Platform) -> None:
        first, port = await platform.start()
        await platform.until(port, 200)
        second, port = await platform.start()
        first.kill()  # before the other's yes
        await platform.until(port, 200)
        third, port = await platform.start()
        await platform.until(port, 200)
        second.send_signal(signal.SIGTERM)
        second.kill()  # in mid-move
        fourth, port = await platform.start()  # and the next upgrade at once
        await platform.until(port, 200)
        third.send_signal(signal.SIGTERM)
        assert await third.wait() == 0
        assert (await platform.first(b"OPEN %016x 1 c=chat,d=2000\r\n" % 7))[0].startswith(b"UP")
        fourth.kill()
        for each in (first, second, fourth):
            await each.wait()

    play(test)


def test_a_kept_folder_that_cannot_be_used_ends_no_process(play: Callable[[Play], None]) -> None:
    async def test(platform: Platform) -> None:
        (platform.folder / "tmp").rmdir()  # TMPDIR names a folder that is gone
        program, port = await platform.start()
        await platform.until(port, 200)
        assert (await platform.ask(port, "/v1/session-servers/s-1/suspend"))[0] == 500
        await platform.ask(port, "/v1/proxy/drain")
        program.send_signal(signal.SIGHUP)  # a reload leaves a drain as it is
        assert (await platform.ask(port, "/v1/readyz", "GET"))[0] == 503
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0

    play(test)


def test_a_fault_of_a_look_does_not_end_the_looking() -> None:
    async def loop() -> int:
        looks = 0

        def look() -> None:
            nonlocal looks
            looks += 1
            raise RuntimeError("broken")

        task = asyncio.get_running_loop().create_task(run_periodically(0, look, EventLog("test")))
        while looks < 3:
            await asyncio.sleep(0)
        assert not task.done()
        task.cancel()
        return looks

    assert asyncio.run(loop()) >= 3
