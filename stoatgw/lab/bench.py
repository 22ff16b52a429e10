"""How near the real proxy comes to a bare uvloop relay on one core: set-ups and lines a second, and what it holds.

Both stand before the same toy servers and the same callers, in turn, round by round, so that the machine's drift
falls on both. The relay does no more than connect and copy bytes, on the same socket calls as the proxy.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import os
import socket
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from stoatgw.emulator.loopback.processes import ProxyProcess
from stoatgw.lab.compare import interval
from stoatgw.lab.errors import LabError
from stoatgw.lab.tables import Value, write_csv

SERVERS = 8
PORT = 19_000
SERVER_NET, PROXY, RELAY, DISCOVERY = "127.50.0", "127.50.1.1", "127.50.1.2", "127.50.1.3"
LINE = b"set 0123456789 of a usual exercise line\r\n"
LINES_AT_ONCE = 4  # lines on their way on each connection
LINE_CLIENTS = 64
CALLERS = 2  # processes that call


def measure(seconds: float, rounds: int, clients: int, standing: int, out: Path | None) -> Iterator[str]:
    """Lines for people; the table goes to `out` where it is given."""
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 3:
        raise LabError("bench: needs three cores, one for the proxy alone")
    soft_limit(4 * standing + 4096)
    with Stand(cores, standing) as stand:
        rows: list[dict[str, Value]] = []
        for kind, each in (("setups", clients), ("lines", LINE_CLIENTS)):
            pairs = []
            for round_number in range(rounds):
                order = ("proxy", "relay") if round_number % 2 == 0 else ("relay", "proxy")
                rates = {target: stand.rate(target, kind, each, seconds) for target in order}
                pairs.append((rates["proxy"], rates["relay"]))
            ours, theirs = np.array(pairs).T
            low, high = interval(ours / theirs)
            row: dict[str, Value] = {
                "what": f"{kind} a second",
                "proxy": round(float(np.median(ours)), 1),
                "relay": round(float(np.median(theirs)), 1),
                "ratio": round(float(np.mean(ours / theirs)), 4),
                "low": round(low, 4),
                "high": round(high, 4),
                "rounds": rounds,
            }
            rows.append(row)
            yield _text(row)
        for target in ("proxy", "relay"):
            held = stand.hold(target, standing)
            row = {
                "what": f"{target}: each standing connection",
                "kib": round(held.kib, 2),
                "descriptors": round(held.descriptors, 3),
                "connections": held.connections,
                "idle_mib": round(held.idle_mib, 2),
            }
            rows.append(row)
            yield _text(row)
    if out is not None:
        names = list(dict.fromkeys(name for row in rows for name in row))
        write_csv(out, [{name: row.get(name) for name in names} for row in rows])


def _text(row: dict[str, Value]) -> str:
    head, *rest = row.items()
    return f"{head[1]}: " + ", ".join(f"{name} {value}" for name, value in rest)


def soft_limit(wanted: int) -> None:
    import resource

    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted if hard == resource.RLIM_INFINITY else min(wanted, hard), hard))


@dataclass(frozen=True, slots=True)
class Held:
    """What a process holds for each standing connection, over what it held before them."""

    kib: float
    descriptors: float
    connections: int
    idle_mib: float


class Stand:
    """Servers, relay and proxy as processes, started once for all rounds; callers are started for each."""

    def __init__(self, cores: list[int], standing: int) -> None:
        self._cores = cores
        self._folder = tempfile.TemporaryDirectory(prefix="stoatgw-bench-")
        self._context = multiprocessing.get_context("spawn")
        self._processes: list[BaseProcess] = []
        self._proxy = ProxyProcess("bench", _config(standing), Path(self._folder.name), {cores[0]})

    def __enter__(self) -> Stand:
        self._spawn(_serve_servers, self._cores[1])
        self._relay = self._spawn(_serve_relay, self._cores[0])
        self._proxy.start()
        if not asyncio.run(self._proxy.wait_ready()):
            raise LabError(f"bench: the proxy did not come up: {self._proxy.read_log_events()[-1:]}")
        return self

    def __exit__(self, *_: Any) -> None:
        self._proxy.close()
        for process in self._processes:
            process.terminate()
            process.join(5)
        self._folder.cleanup()

    def _spawn(self, target: Any, core: int) -> int:
        """Start a helper on a core and wait until it is up; gives its process id."""
        mine, theirs = self._context.Pipe()
        process = self._context.Process(target=_helper, args=(target, core, theirs), daemon=True)
        process.start()
        self._processes.append(process)
        if not mine.poll(20) or mine.recv() != "up":
            raise LabError("bench: a helper did not come up")
        return process.pid or 0

    def rate(self, target: str, kind: str, clients: int, seconds: float) -> float:
        """Operations a second by `clients` at once, shared among the callers."""
        address = (PROXY if target == "proxy" else RELAY, PORT)
        callers = []
        cores = self._cores[2:] or self._cores
        for number in range(CALLERS):
            mine, theirs = self._context.Pipe()
            share = clients // CALLERS + (number < clients % CALLERS)
            args = (theirs, kind, address, share, seconds, cores[number % len(cores)])
            process = self._context.Process(target=_call, args=args, daemon=True)
            process.start()
            callers.append((process, mine))
        total = 0.0
        for _, pipe in callers:
            if not pipe.poll(20) or pipe.recv() != "up":
                raise LabError("bench: a caller did not come up")
        for _, pipe in callers:
            pipe.send("go")
        for process, pipe in callers:
            if not pipe.poll(seconds + 30):
                raise LabError("bench: a caller did not come back")
            total += pipe.recv()
            process.join(5)
        return total

    def hold(self, target: str, standing: int) -> Held:
        """Memory and descriptors for each of so many standing connections."""
        pid = self._proxy.pid if target == "proxy" else self._relay
        address = (PROXY if target == "proxy" else RELAY, PORT)
        before_kib, before_files = _resident_kib(pid), _files(pid)
        mine, theirs = self._context.Pipe()
        process = self._context.Process(
            target=_call, args=(theirs, "hold", address, standing, 0.0, self._cores[-1]), daemon=True
        )
        process.start()
        if not mine.poll(20) or mine.recv() != "up":
            raise LabError("bench: a caller did not come up")
        mine.send("go")
        if not mine.poll(120):
            raise LabError("bench: the standing connections did not come up")
        up = int(mine.recv())
        time.sleep(1.0)
        kib, files = _resident_kib(pid) - before_kib, _files(pid) - before_files
        mine.send("end")
        process.join(20)
        return Held(kib / max(1, up), files / max(1, up), up, before_kib / 1024)


def _resident_kib(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def _files(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def _config(standing: int) -> dict[str, Any]:
    """LB_CONFIG with limits that do not bind and servers that look empty."""
    instances = [
        {
            "instanceId": f"s-{number}",
            "hostPort": f"{SERVER_NET}.{number + 1}:{PORT}",
            "zone": "near",
            "machineType": "toy",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for number in range(SERVERS)
    ]
    return {
        "name": "bench",
        "listen": f"{PROXY}:{PORT}",
        "discovery": f"{DISCOVERY}:{PORT}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 4096, "sockets": 4 * standing + 4096},
        "known": {"generation": 1, "reset": True, "instances": instances},
        "settings": {
            "areas": ["near"],
            "kinds": ["toy"],
            "locality": 0,
            "balancers": 1,
            "rank": 0,
            "granularity_us": 5000,
            "bounds": {
                "probes": True,
                "cancelling": True,
                "retry_after": True,
                "parallel_tries": False,
                "max_attempts": 6,
                "max_retry_after_us": 1_000_000,
                "dial_timeout_us": 250_000,
            },
            "domain": {"mode": "proxy", "groups": True, "message_aim_us": [1_000_000], "tells_delay": True},
            "prices": {"probe": 0.004},
            "profiles": [
                {"name": "p", "deadline_us": 2_000_000, "on_time_us": 500_000, "idempotency": "retryable", "worth": 1}
            ],
            "report": {"via": "on_probe", "columns": ["outstanding", "x0"]},
            "rules": {
                "drain_grace_us": 3_000_000,
                "cold_from": 0.13,
                "cold_us": 24_000_000,
                "fall_multiple": 4,
                "fall_us": 1_000_000,
            },
        },
    }


# The helpers' processes.


def _helper(target: Any, core: int, pipe: Connection) -> None:
    with contextlib.suppress(OSError):
        os.sched_setaffinity(0, {core})
    soft_limit(1 << 17)
    uvloop.run(target(pipe))


def _listen(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, PORT))
    sock.listen(4096)
    sock.setblocking(False)
    return sock


class _Toy(asyncio.Protocol):
    """A session server that says UP to OPEN, answers probes as empty, and gives every other line back."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"set "):
            self._transport.write(data)
        elif data.startswith(b"OPEN "):
            self._transport.write(b"UP toy\r\n")
        elif data.startswith(b"STATS"):
            self._transport.write(b"PONG inflight=10,x0=0.001\r\n")
        else:
            self._transport.write(data)


async def _serve_servers(pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    for number in range(SERVERS):
        await loop.create_server(_Toy, sock=_listen(f"{SERVER_NET}.{number + 1}"))
    pipe.send("up")
    await asyncio.Event().wait()


async def _serve_relay(pipe: Connection) -> None:
    loop, turn = asyncio.get_running_loop(), 0
    sock = _listen(RELAY)
    pipe.send("up")
    tasks = set()
    while True:
        taken, _ = await loop.sock_accept(sock)
        turn += 1
        task = loop.create_task(_relay(taken, f"{SERVER_NET}.{turn % SERVERS + 1}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def _relay(client: socket.socket, host: str) -> None:
    loop = asyncio.get_running_loop()
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    for sock in (client, server):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await loop.sock_connect(server, (host.encode(), PORT))  # as the proxy does: text goes through a codec
        ways = [loop.create_task(_copy(client, server)), loop.create_task(_copy(server, client))]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        await asyncio.wait(ways)
    except OSError:
        pass
    finally:
        client.close()
        server.close()


async def _copy(source: socket.socket, sink: socket.socket) -> None:
    loop, buffer = asyncio.get_running_loop(), bytearray(8192)
    with contextlib.suppress(OSError):
        while count := await loop.sock_recv_into(source, buffer):
            await loop.sock_sendall(sink, memoryview(buffer)[:count])


def _call(pipe: Connection, kind: str, address: tuple[str, int], clients: int, seconds: float, core: int) -> None:
    with contextlib.suppress(OSError):
        os.sched_setaffinity(0, {core})
    soft_limit(1 << 17)
    uvloop.run(_callers(pipe, kind, address, clients, seconds))


async def _callers(pipe: Connection, kind: str, address: tuple[str, int], clients: int, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    numbers = iter(range(int(time.time_ns() % (1 << 40)) << 20, 1 << 63))
    if kind == "hold":
        pipe.send("up")
        await loop.run_in_executor(None, pipe.recv)
        await _hold(pipe, address, clients, numbers)
        return
    socks = [await _open(address, next(numbers)) for _ in range(clients)] if kind == "lines" else []
    pipe.send("up")
    await loop.run_in_executor(None, pipe.recv)
    began = time.perf_counter()
    until = began + seconds
    if kind == "setups":
        done = await asyncio.gather(*(_setups(address, numbers, until) for _ in range(clients)))
    else:
        done = await asyncio.gather(*(_lines(sock, until) for sock in socks))
    pipe.send(sum(done) / (time.perf_counter() - began))
    for sock in socks:
        sock.close()


async def _open(address: tuple[str, int], number: int) -> socket.socket:
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, b"OPEN %016x %016x c=p,d=2000,g=%x\r\n" % (number, number, number % 64 + 1))
    answer = await loop.sock_recv(sock, 4096)
    if not answer.startswith(b"UP "):
        sock.close()
        raise ConnectionError(f"no UP: {answer[:60]!r}")
    return sock


async def _setups(address: tuple[str, int], numbers: Iterator[int], until: float) -> int:
    """Open, and leave at once; only what was served counts."""
    done = 0
    while time.perf_counter() < until:
        try:
            sock = await _open(address, next(numbers))
        except OSError:
            await asyncio.sleep(0.001)
            continue
        sock.close()
        done += 1
    return done


async def _lines(sock: socket.socket, until: float) -> int:
    loop, done = asyncio.get_running_loop(), 0
    burst = LINE * LINES_AT_ONCE
    while time.perf_counter() < until:
        await loop.sock_sendall(sock, burst)
        left = len(burst)
        while left > 0:
            data = await loop.sock_recv(sock, 65536)
            if not data:
                raise ConnectionError("the connection ended")
            left -= len(data)
        done += LINES_AT_ONCE
    return done


async def _hold(pipe: Connection, address: tuple[str, int], clients: int, numbers: Iterator[int]) -> None:
    loop = asyncio.get_running_loop()
    socks: list[socket.socket] = []
    failed = 0
    while len(socks) < clients and failed < 100:
        wanted = min(8, clients - len(socks))
        opened = await asyncio.gather(*(_open(address, next(numbers)) for _ in range(wanted)), return_exceptions=True)
        good = [each for each in opened if isinstance(each, socket.socket)]
        failed += len(opened) - len(good)
        socks += good
    for _ in range(2):  # every connection has been used, both ways
        for sock in socks:
            await loop.sock_sendall(sock, LINE)
            await loop.sock_recv(sock, 4096)
    pipe.send(len(socks))
    await loop.run_in_executor(None, pipe.recv)
    for sock in socks:
        sock.close()
