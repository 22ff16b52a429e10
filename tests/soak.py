"""Run real proxies under random faults for some seconds per seed: `python -m tests.soak FIRST_SEED COUNT`.

Servers end sessions in every way, socket calls fail at random, proxies receive series of signals, are terminated, and
are killed at the earliest time that the operators allow; clients use their open connections until then. Some seeds add
idle connections that send no request. A finding is anything that a client should not see.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.proxy_process import free_port, start_discovery, write_config
from tests.test_discovery import entry, page

PROXIES = 2
SERVERS = 4
CLIENTS = 40
IDLE_CONNECTIONS = 150  # connections without a request, in one of three seeds
RUN_LENGTH_S = 9.0  # approximate; a third of it is the longest time that a proxy runs after its restart
CLIENT_LINE_INTERVALS_S = (0.1, 2.0)  # between the lines of a busy and of a quiet session
PIECE_DELAYS_S = (0.0, 0.0, 0.002)  # of a server, after each of the two pieces of an answer
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline of the settings plus 0.7 s
DEADLINE_S = 2.0
ANSWER_GRACE_S = 0.5
ADMISSION_AFTER_SIGTERM_S = 0.3  # time after SIGTERM for which new clients still connect
MAX_LAG_S = 4.0  # ends are normally propagated immediately; only one that is never propagated takes longer
LINGER_RESET = struct.pack("ii", 1, 0)
FAULT_COUNTERS = ("ends_unread", "sessions_crashed", "attempts_crashed", "session_monitor_failures", "watches_crashed")


@dataclass
class Findings:
    """The findings of a run, and how long the propagation of session ends took.

    Attributes:
        texts: One text for each finding.
        lags_s: The time from the end of each session at one side to its end at the other.
        counts: The number of answers and session ends by kind.
    """

    texts: list[str] = field(default_factory=list)
    lags_s: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(eq=False)
class Session:
    """One session: when its server or its client ended it, by the event loop's clock."""

    server_end_s: float | None = None
    client_end_s: float | None = None


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class SoakServer:
    """A session server that ends its sessions at random times and in random ways."""

    def __init__(self, rng: random.Random, sessions: dict[bytes, Session], findings: Findings) -> None:
        self._rng = rng
        self._sessions = sessions
        self._findings = findings

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(ConnectionError):
            request = await reader.readline()
            while request and not request.startswith(b"OPEN"):
                writer.write(b"PONG x0=0.001,inflight=1\r\n")
                request = await reader.readline()
            if request:
                await self._serve_until_end(self._sessions[request.split()[1]], reader, writer)
        writer.close()

    async def _serve_until_end(
        self, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_session(session, reader, writer)
        finally:
            if session.client_end_s is not None and session.server_end_s is None:
                now_s = asyncio.get_running_loop().time()
                self._findings.lags_s.append(now_s - session.client_end_s)

    async def _serve_session(
        self, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._rng.random() < 0.1:
            await asyncio.sleep(self._rng.uniform(0, 0.5))
        writer.write(b"UP 77\r\n")
        end_timer = asyncio.get_running_loop().call_later(
            self._rng.expovariate(1 / 2.0), self._end, session, writer, self._rng.randrange(12)
        )
        while line := await reader.readline():
            answer = b"E " + line + self._rng.choice((b"", b"LOAD 0.1\r\n"))
            split_at = self._rng.randrange(len(answer))
            for piece in (answer[:split_at], answer[split_at:]):
                if session.server_end_s is not None:
                    return
                writer.write(piece)
                await asyncio.sleep(self._rng.choice(PIECE_DELAYS_S))
        end_timer.cancel()

    def _end(self, session: Session, writer: asyncio.StreamWriter, end_kind: int) -> None:
        """End a session: with BYE or without, after a complete or partial line or none; by EOF, close or reset."""
        if writer.is_closing():
            return
        session.server_end_s = asyncio.get_running_loop().time()
        writer.write((b"BYE\r\n", b"LOAD 0.3\r\n", b"half", b"")[end_kind % 4])
        if end_kind < 4:
            reset_connection(writer)
        elif end_kind < 8:
            writer.write_eof()
        else:
            writer.close()


class Proxy:
    """One proxy's address, and its successive processes."""

    def __init__(self, folder: Path, port: int, failing_calls: str, findings: Findings) -> None:
        self.address = ("127.0.0.1", port)
        self.accepts_new = False
        self.was_killed = asyncio.Event()
        self._folder = folder
        self._failing_calls = failing_calls
        self._findings = findings
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process, and wait until it is ready."""
        self.was_killed = asyncio.Event()
        environment = {"LB_CONFIG": str(self._folder / "config.json"), "TMPDIR": str(self._folder)}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.failing_calls", self._failing_calls, env=os.environ | environment, stdout=-1
        )
        ready = asyncio.Event()
        assert self._process.stdout is not None
        self._log_reader = asyncio.create_task(self._read_log(self._process.stdout, ready))
        await ready.wait()
        self.accepts_new = True

    async def _read_log(self, output: asyncio.StreamReader, ready: asyncio.Event) -> None:
        while line := await output.readline():
            event: dict[str, Any] = json.loads(line)
            if event["event"] == "ready":
                ready.set()
            elif event["event"] in ("session_cut", "session_crashed", "attempt_crashed", "end_unread"):
                self._findings.texts.append(f"log: {line.decode().strip()}")
            elif event["event"] == "proxy_stopped":
                self._findings.texts += [f"{name}: {event[name]}" for name in FAULT_COUNTERS if event.get(name)]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def end(self, rng: random.Random) -> None:
        """Terminate the process, with further signals in some runs, and kill it at the earliest time allowed."""
        assert self._process is not None
        assert self._log_reader is not None
        self.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(ADMISSION_AFTER_SIGTERM_S, setattr, self, "accepts_new", False)
        for _ in range(rng.randrange(3)):
            await asyncio.sleep(rng.uniform(0, 0.3))
            self.signal(rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1]))
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                status = await self._process.wait()
        except TimeoutError:
            self.was_killed.set()
            self.signal(signal.SIGKILL)
            status = await self._process.wait()
            self._findings.texts.append("a process had to be killed")
        if status not in (0, -signal.SIGKILL):
            self._findings.texts.append(f"a process ended with status {status}")
        self.accepts_new = False
        await self._log_reader


class Soak:
    """The run of one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._folder = folder
        self._sessions: dict[bytes, Session] = {}
        self._has_idle_connections = seed % 3 == 0
        self.findings = Findings()
        failing_calls = f"any:{seed}" if seed % 4 else "none"
        self._proxies = [
            Proxy(folder / f"n{index}", free_port(), failing_calls, self.findings) for index in range(PROXIES)
        ]

    async def run(self) -> None:
        """Run the seed."""
        await self._start_services()
        await asyncio.gather(*(proxy.start() for proxy in self._proxies))
        clients = [asyncio.create_task(self._run_client()) for _ in range(CLIENTS)]
        idle_connections = [
            asyncio.create_task(self._run_idle_connection())
            for _ in range(IDLE_CONNECTIONS if self._has_idle_connections else 0)
        ]
        await asyncio.gather(*(self._disturb(proxy) for proxy in self._proxies))
        for task in (*clients, *idle_connections):
            task.cancel()
        results = await asyncio.gather(*clients, *idle_connections, return_exceptions=True)
        self.findings.texts += [f"the test harness: {error!r}" for error in results if isinstance(error, Exception)]
        await asyncio.gather(*(proxy.end(self._rng) for proxy in self._proxies))

    async def _start_services(self) -> None:
        entries = []
        for number in range(SERVERS):
            server = await asyncio.start_server(
                SoakServer(self._rng, self._sessions, self.findings).serve, "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            entries.append(entry(instanceId=f"s-{number}", hostPort=f"127.0.0.1:{port}"))
        discovery = await start_discovery(json.dumps(page(*entries)).encode() + b"\n")
        for index, proxy in enumerate(self._proxies):
            folder = self._folder / f"n{index}"
            folder.mkdir()
            host, port = proxy.address
            write_config(folder / "config.json", name=f"n{index}", listen=f"{host}:{port}", discovery=discovery.address)

    async def _disturb(self, proxy: Proxy) -> None:
        """Send signals to one proxy and restart it, at random times."""
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        for _ in range(self._rng.randrange(4)):
            proxy.signal(self._rng.choice([signal.SIGHUP, signal.SIGUSR1]))
            await asyncio.sleep(self._rng.uniform(0, 0.2))
        await proxy.end(self._rng)
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        await proxy.start()
        await asyncio.sleep(self._rng.uniform(1.0, RUN_LENGTH_S / 3))

    async def _run_idle_connection(self) -> None:
        """Connect without sending a request, and reconnect whenever the connection is closed."""
        while True:
            with contextlib.suppress(OSError):
                proxy = self._rng.choice(self._proxies)
                reader, writer = await asyncio.open_connection(*proxy.address)
                await reader.read()
                writer.close()
            await asyncio.sleep(0.1)

    async def _run_client(self) -> None:
        while True:
            ready = [proxy for proxy in self._proxies if proxy.accepts_new]
            if ready:
                with contextlib.suppress(ConnectionRefusedError):
                    await self._run_session(self._rng.choice(ready))
            await asyncio.sleep(self._rng.uniform(0.02, 0.1))

    async def _run_session(self, proxy: Proxy) -> None:
        request_id = b"%016x" % self._rng.getrandbits(64)
        session = self._sessions[request_id] = Session()
        reader, writer = await asyncio.open_connection(*proxy.address)
        try:
            writer.write(b"OPEN %s 1 c=chat,d=%d\r\n" % (request_id, DEADLINE_S * 1000))
            answer = await self._read_answer(proxy, reader)
            self.findings.counts[answer.split(b" ")[0].strip().decode() or "none"] += 1
            if answer.startswith(b"UP"):
                await self._use_session(proxy, session, reader, writer)
        finally:
            if self._rng.random() < 0.5:
                reset_connection(writer)
            writer.close()

    async def _read_answer(self, proxy: Proxy, reader: asyncio.StreamReader) -> bytes:
        try:
            async with asyncio.timeout(DEADLINE_S + ANSWER_GRACE_S):
                answer = await reader.readline()
        except TimeoutError:
            self.findings.texts.append("a request was not answered in time")
            return b""
        except ConnectionResetError:
            answer = b""
        if not answer and not proxy.was_killed.is_set() and not self._has_idle_connections:
            self.findings.texts.append("a request's connection was closed with no answer")
        return answer

    async def _use_session(
        self, proxy: Proxy, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send lines until the session ends; some sessions are ended by the client."""
        sending = asyncio.create_task(self._keep_sending(writer))
        duration_s = self._rng.expovariate(1 / 3.0)
        received = b""
        has_ended = False
        try:
            async with asyncio.timeout(duration_s) as timeout:
                while data := await reader.read(4096):
                    received = (received + data)[-64:]
                    if session.server_end_s is not None:
                        timeout.reschedule(session.server_end_s + MAX_LAG_S + 1.0)  # wait for the propagated end
            has_ended = True
        except ConnectionResetError:
            has_ended = True
        except TimeoutError:
            pass  # the client ends the session
        finally:
            sending.cancel()
        now_s = asyncio.get_running_loop().time()
        if session.server_end_s is not None:
            self.findings.lags_s.append(now_s - session.server_end_s)
            if self.findings.lags_s[-1] > MAX_LAG_S:
                self.findings.texts.append("an end was not propagated")
        elif not has_ended:
            session.client_end_s = now_s
        elif not proxy.was_killed.is_set() and not (b"\n" + received).endswith(b"\nMOVE\r\n"):
            self.findings.texts.append(f"a healthy session ended without MOVE: {received[-30:]!r}")
        self.findings.counts["moved" if received.endswith(b"MOVE\r\n") else "ended"] += 1

    async def _keep_sending(self, writer: asyncio.StreamWriter) -> None:
        count = 0
        interval_s = self._rng.choice(CLIENT_LINE_INTERVALS_S)
        while not writer.is_closing():
            count += 1
            writer.write(b"M %d\r\n" % count)
            await asyncio.sleep(interval_s)


async def run_seed(seed: int) -> Findings:
    """Run one seed."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        await soak.run()
        return soak.findings


def main() -> int:
    """Run the seeds in turn; return 1 if there is a finding, or an end was propagated more than a second late."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    has_findings = False
    for seed in range(first, first + count):
        findings = asyncio.run(run_seed(seed))
        lags = sorted(findings.lags_s)
        slowest = lags[-1] if lags else 0.0
        has_findings |= bool(findings.texts) or slowest > 1.0
        print(f"seed {seed}: {dict(findings.counts)}, {len(lags)} ends, slowest {slowest:.3f} s", flush=True)
        for text, times in Counter(findings.texts).most_common(8):
            print(f"    {times} x {text}", flush=True)
    return int(has_findings)


if __name__ == "__main__":
    sys.exit(main())
