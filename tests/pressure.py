"""Play misbehaving clients against a real proxy process, and measure its memory and what other clients notice.

`python -m tests.pressure [--seconds 5] [NAME...]`, with names of `PRESSURES`, prints a line for each: the proxy's peak
memory, the longest time until another client's answer and until an echo on an open session, and how often an id was
executed twice.
Started by hand: the figures depend on the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from stoatgw.clients.recent_ids import MAX_ENDED_IDS
from tests.proxy_process import free_port, start_discovery, write_config
from tests.test_discovery import entry, page

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
DEFAULT_DURATION_S = 5.0
USUAL_SESSIONS = 10
ECHO_INTERVAL_S = 0.05
ANSWER_INTERVAL_S = 0.05
LONG_FIELDS = ",".join(f"f{number}=1" for number in range(10_000))[:4000].rsplit(",", 1)[0]


class PressedProxy:
    """One proxy process with small limits, a session server that echoes, and usual clients beside the others."""

    def __init__(self, folder: Path, memory_mb: int, sockets: int, duration_s: float) -> None:
        self._folder = folder
        self._limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self._max_descriptors = sockets
        self.duration_s = duration_s
        self.server_linger_s = duration_s  # how long the server leaves a connection open that its client has ended
        self.address = ("127.0.0.1", free_port())
        self.last_id = 0
        self.is_server_reading = True
        self.is_server_replying = True
        self.executions: dict[bytes, int] = {}
        self.worst_answer_s = 0.0
        self.worst_echo_s = 0.0
        self.unanswered = 0
        self.rejected = 0
        self.answered = 0
        self.requested = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        port = server.sockets[0].getsockname()[1]
        discovery = await start_discovery(json.dumps(page(entry(hostPort=f"127.0.0.1:{port}"))).encode() + b"\n")
        config = self._folder / "config.json"
        listen = ":".join(map(str, self.address))
        write_config(config, listen=listen, discovery=discovery.address, limits=self._limits)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stoatgw",
            env=os.environ | {"LB_CONFIG": str(config), "TMPDIR": str(self._folder)},
            stdout=(self._folder / "log").open("wb"),
            preexec_fn=self._limit_descriptors,
        )
        while b"PONG" not in await self._ping():
            await asyncio.sleep(0.05)

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_descriptors, self._max_descriptors))

    async def _ping(self) -> bytes:
        try:
            reader, writer = await self.connect()
        except OSError:
            return b""
        writer.write(b"PING\r\n")
        answer = await reader.readline()
        writer.close()
        return answer

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            line = await reader.readline()
            while line in (b"PING\r\n", b"STATS\r\n"):
                writer.write(b"PONG outstanding=1000,x0=0.001\r\n")
                line = await reader.readline()
            if not line:
                return
            self.executions[line.split()[1]] = self.executions.get(line.split()[1], 0) + 1
            is_usual = b"view" in line  # the usual clients' class
            writer.write(b"UP 77\r\n")
            while is_usual or self.is_server_reading:
                data = await reader.read(65536)
                if not data:
                    break
                if is_usual or self.is_server_replying:
                    writer.write(data)
                    await writer.drain()
            await asyncio.sleep(self.server_linger_s)
        writer.close()

    # Clients.

    async def connect(self) -> Streams:
        return await asyncio.open_connection(*self.address)

    def open_line(self, fields: str = "") -> bytes:
        self.last_id += 1
        return f"OPEN {self.last_id:016x} {self.last_id:x} c=chat,d=2000{fields}\r\n".encode()

    async def open_session(self, fields: str = "") -> Streams:
        reader, writer = await self.connect()
        writer.write(self.open_line(fields))
        await reader.readline()
        return reader, writer

    async def usual_session(self) -> None:
        """Send a line now and again, and time its echo; come again after the session's end."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await self.connect()
                writer.write(self.open_line().replace(b"c=chat", b"c=view"))
                if (await reader.readline()).startswith(b"UP"):
                    await self._exchange_lines(reader, writer)
                writer.close()
            await asyncio.sleep(0.2)

    async def _exchange_lines(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sent_s = loop.time()
            writer.write(b"line of a usual client\r\n")
            try:
                answer = await reader.readline()
            finally:  # an echo that has not come by the end counts as well
                self.worst_echo_s = max(self.worst_echo_s, loop.time() - sent_s)
            if not answer or answer == b"MOVE\r\n":
                return
            await asyncio.sleep(ECHO_INTERVAL_S)

    async def usual_requests(self) -> None:
        """Connect again and again, and time the answer."""
        while True:
            self.tasks.append(asyncio.create_task(self._usual_request()))
            await asyncio.sleep(ANSWER_INTERVAL_S)

    async def _usual_request(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.requested += 1
        answer = b""
        try:
            reader, writer = await self.connect()
            writer.write(self.open_line().replace(b"c=chat", b"c=view"))
            answer = await reader.readline()
            writer.close()
        except OSError:
            pass
        finally:  # an answer that has not come by the end counts as well
            self.worst_answer_s = max(self.worst_answer_s, loop.time() - started_s)
        self.answered += answer.startswith(b"UP")
        self.rejected += answer.startswith(b"BUSY")
        self.unanswered += not answer

    # Figures.

    def memory_mb(self, field: str = "VmHWM") -> float:
        """Return the proxy's peak memory, or its present one with "VmRSS"."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self) -> int:
        for task in self.tasks:
            task.cancel()
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        return await self.process.wait()


Pressure = Callable[[PressedProxy], Awaitable[None]]


async def calm(proxy: PressedProxy) -> None:
    """Nothing but the usual clients."""
    await asyncio.sleep(proxy.duration_s)


async def repeat(proxy: PressedProxy, count: int, client: Callable[[], Awaitable[None]], pause_s: float = 0.01) -> None:
    """Run as many clients at once; each begins anew when it has ended."""

    async def run() -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.LimitOverrunError):
                await client()
            await asyncio.sleep(pause_s)

    tasks = [asyncio.create_task(run()) for _ in range(count)]
    await asyncio.sleep(proxy.duration_s)
    for task in tasks:
        task.cancel()


async def slow_heads(proxy: PressedProxy) -> None:
    """300 clients that write their first line byte by byte."""

    async def client() -> None:
        _, writer = await proxy.connect()
        for byte in proxy.open_line(f",{LONG_FIELDS}"):
            writer.write(bytes([byte]))
            await asyncio.sleep(0.02)
        writer.close()

    await repeat(proxy, 300, client)


async def half_heads(proxy: PressedProxy) -> None:
    """300 clients that send most of a first line of 4 KB, and stay."""

    async def client() -> None:
        reader, writer = await proxy.connect()
        writer.write(proxy.open_line(f",{LONG_FIELDS}")[:4000])
        await reader.read()
        writer.close()

    await repeat(proxy, 300, client)


async def half_megabytes(proxy: PressedProxy) -> None:
    """300 clients that send half of a first line of 1 MB, and stay."""

    async def client() -> None:
        reader, writer = await proxy.connect()
        writer.write(b"OPEN " + b"x" * 500_000)
        await reader.read()
        writer.close()

    await repeat(proxy, 300, client)


async def many_fields(proxy: PressedProxy) -> None:
    """300 clients whose first line has some 600 short fields; they stay after UP."""

    async def client() -> None:
        reader, writer = await proxy.open_session(f",{LONG_FIELDS}")
        await reader.read()
        writer.close()

    await repeat(proxy, 300, client)


async def half_lines_after_up(proxy: PressedProxy) -> None:
    """300 sessions with most of a line of 4 KB, whose rest never comes."""

    async def client() -> None:
        reader, writer = await proxy.open_session()
        writer.write(b"x" * 4000)
        await reader.read()
        writer.close()

    await repeat(proxy, 300, client)


async def unread_by_server(proxy: PressedProxy) -> None:
    """300 sessions that send without end while the server reads nothing."""
    proxy.is_server_reading = False
    await send_endlessly(proxy, 300, b"x" * 2000 + b"\r\n")


async def unreplied_by_server(proxy: PressedProxy) -> None:
    """300 sessions that send lines of 4 KB while the server replies nothing."""
    proxy.is_server_replying = False
    await send_endlessly(proxy, 300, b"x" * 4000 + b"\r\n", pause_s=0.02)


async def send_endlessly(proxy: PressedProxy, count: int, data: bytes, pause_s: float = 0.0) -> None:
    async def client() -> None:
        reader, writer = await proxy.open_session()
        drain = asyncio.create_task(reader.read())
        while not drain.done():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.close()

    await repeat(proxy, count, client)


async def unread_by_client(proxy: PressedProxy) -> None:
    """300 sessions that send lines and read no echo."""

    async def client() -> None:
        _, writer = await proxy.open_session()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(proxy.duration_s):
            while True:
                writer.write(b"x" * 2000 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.01)

    with contextlib.suppress(TimeoutError):
        await repeat(proxy, 300, client)


def flood(data: bytes, *, after_up: bool) -> Pressure:
    """Return the pressure of one client that sends as fast as it can on one connection, and reads the answers."""

    async def press(proxy: PressedProxy) -> None:
        async def client() -> None:
            reader, writer = await (proxy.open_session() if after_up else proxy.connect())
            drain = asyncio.create_task(_read_all(reader))
            while not drain.done():
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(0)
            writer.close()

        await repeat(proxy, 1, client)

    return press


async def _read_all(reader: asyncio.StreamReader) -> None:
    while await reader.read(1 << 20):
        pass


def new_names(line: Callable[[PressedProxy], bytes]) -> Pressure:
    """Return the pressure of one client that connects as fast as it can, each time under new names."""

    async def press(proxy: PressedProxy) -> None:
        async def client() -> None:
            reader, writer = await proxy.connect()
            writer.write(line(proxy))
            await reader.readline()
            writer.close()

        await repeat(proxy, 8, client, pause_s=0.0)

    return press


def named_line(proxy: PressedProxy) -> bytes:
    number = proxy.last_id + 1
    return proxy.open_line(f",g={number:x},t=tenant{number},n{number}=1")


def unknown_class(proxy: PressedProxy) -> bytes:
    return proxy.open_line().replace(b"c=chat", b"c=class%d" % proxy.last_id)


async def forgotten_ids(proxy: PressedProxy) -> None:
    """40 ids that come again after more other ones than a process remembers; ends when they have come again."""
    proxy.server_linger_s = 0.0

    async def request(line: bytes) -> None:
        reader, writer = await proxy.connect()
        writer.write(line)
        await reader.readline()
        writer.close()

    lines = [proxy.open_line() for _ in range(40)]
    for line in lines:
        await request(line)
    first_id = proxy.last_id
    while proxy.last_id < first_id + MAX_ENDED_IDS + 1000:
        await asyncio.gather(*(request(proxy.open_line()) for _ in range(16)))
    await asyncio.sleep(3.0)  # until the descriptors of the last ones are free
    for line in lines:
        await request(line)
        await asyncio.sleep(0.05)


PRESSURES: dict[str, Pressure] = {
    "calm": calm,
    "slow_heads": slow_heads,
    "half_heads": half_heads,
    "half_megabytes": half_megabytes,
    "many_fields": many_fields,
    "half_lines_after_up": half_lines_after_up,
    "unread_by_server": unread_by_server,
    "unreplied_by_server": unreplied_by_server,
    "unread_by_client": unread_by_client,
    "flood_pings": flood(b"PING\r\n" * 600, after_up=False),
    "flood_garbage": flood(b"\r\n" * 2000, after_up=False),
    "flood_empty_lines": flood(b"\n" * 8000, after_up=True),
    "flood_short_lines": flood(b"x\r\n" * 2000, after_up=True),
    "flood_load_lines": flood(b"LOAD 1\r\n" * 1000, after_up=True),
    "new_names": new_names(named_line),
    "new_classes": new_names(unknown_class),
    "forgotten_ids": forgotten_ids,
}


async def measure(name: str, memory_mb: int, sockets: int, duration_s: float) -> str:
    """Play one pressure and return its line of figures."""
    with tempfile.TemporaryDirectory() as folder:
        proxy = PressedProxy(Path(folder), memory_mb, sockets, duration_s)
        await proxy.start()
        started_mb = proxy.memory_mb("VmRSS")
        try:
            proxy.tasks += [asyncio.create_task(proxy.usual_session()) for _ in range(USUAL_SESSIONS)]
            proxy.tasks.append(asyncio.create_task(proxy.usual_requests()))
            await asyncio.sleep(0.5)
            await PRESSURES[name](proxy)
            await asyncio.sleep(0.5)
            for task in proxy.tasks:
                task.cancel()
            await asyncio.gather(*proxy.tasks, return_exceptions=True)
            twice = sum(count > 1 for count in proxy.executions.values())
            return (
                f"{name:22} {memory_mb} MB {sockets:4}: memory {started_mb:.1f} to {proxy.memory_mb():.1f} MB, "
                f"worst answer {proxy.worst_answer_s:.2f} s, worst echo {proxy.worst_echo_s:.2f} s, "
                f"{proxy.requested} requests: {proxy.answered} UP {proxy.rejected} BUSY {proxy.unanswered} none, "
                f"ids run {len(proxy.executions)}, twice {twice}, alive {proxy.process.returncode is None}"
            )
        finally:
            await proxy.stop()


def main() -> None:
    """Measure the named pressures, or all of them, with the smallest and the largest limits."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S, help="how long each pressure lasts")
    parser.add_argument("names", nargs="*", default=list(PRESSURES), help="which pressures; all without names")
    arguments = parser.parse_args()
    for name in arguments.names:
        for memory_mb, sockets in ((32, 256), (192, 1024)):
            print(asyncio.run(measure(name, memory_mb, sockets, arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
