"""Load generators: processes that set up sessions, exchange lines, or hold sessions open."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from multiprocessing.connection import Connection

import uvloop

from stoatgw.lab.bench.endpoints import Endpoint, make_stream_socket, set_up_helper_process
from stoatgw.lab.bench.helpers import READY

GO = "go"  # sent by the bench to start the load
END = "end"  # sent by the bench to close held sessions

LINE = b"set 0123456789 of a usual exercise line\r\n"
LINES_IN_FLIGHT = 4  # on each connection
RECEIVE_BYTES = 65536
ANSWER_BYTES = 4096
RETRY_PAUSE_S = 0.001
GROUPS = 64
CONCURRENT_OPENS = 8
MAX_FAILED_OPENS = 100


class Workload(StrEnum):
    """Kind of load that a load generator produces."""

    SETUPS = "setups"  # opens sessions and closes them immediately
    LINES = "lines"  # exchanges lines on sessions that stay open
    HOLD = "hold"  # holds sessions open until END is received


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of one load generator."""

    workload: Workload
    target: Endpoint
    clients: int
    duration_s: float
    core: int


def run_load(pipe: Connection, plan: LoadPlan) -> None:
    """Run a load generator; the main function of its process.

    It sends READY, waits for GO, and sends its result: operations per second, or the number of held sessions.
    """
    set_up_helper_process(plan.core)
    uvloop.run(_run_load(pipe, plan))


async def _run_load(pipe: Connection, plan: LoadPlan) -> None:
    request_numbers = iter(range(int(time.time_ns() % (1 << 40)) << 20, 1 << 63))
    if plan.workload is Workload.HOLD:
        await _signal_ready(pipe)
        await _hold_sessions(pipe, plan, request_numbers)
        return
    socks: list[socket.socket] = []
    if plan.workload is Workload.LINES:
        socks = [await _open_session(plan.target, next(request_numbers)) for _ in range(plan.clients)]
    await _signal_ready(pipe)
    started_s = time.perf_counter()
    until_s = started_s + plan.duration_s
    if plan.workload is Workload.SETUPS:
        clients = (_set_up_sessions(plan.target, request_numbers, until_s) for _ in range(plan.clients))
        operations = await asyncio.gather(*clients)
    else:
        operations = await asyncio.gather(*(_exchange_lines(sock, until_s) for sock in socks))
    pipe.send(sum(operations) / (time.perf_counter() - started_s))
    for sock in socks:
        sock.close()


async def _signal_ready(pipe: Connection) -> None:
    """Send READY and wait for GO."""
    pipe.send(READY)
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)


async def _open_session(target: Endpoint, number: int) -> socket.socket:
    """Open a session and wait for its UP.

    Raises:
        OSError: The target does not accept the connection, or sends another answer.
    """
    loop = asyncio.get_running_loop()
    sock = make_stream_socket()
    await loop.sock_connect(sock, target)
    await loop.sock_sendall(sock, b"OPEN %016x %016x c=p,d=2000,g=%x\r\n" % (number, number, number % GROUPS + 1))
    answer = await loop.sock_recv(sock, ANSWER_BYTES)
    if not answer.startswith(b"UP "):
        sock.close()
        raise ConnectionError(f"no UP: {answer[:60]!r}")
    return sock


async def _set_up_sessions(target: Endpoint, request_numbers: Iterator[int], until_s: float) -> int:
    """Open sessions and close them immediately; return the number of established ones."""
    established = 0
    while time.perf_counter() < until_s:
        try:
            sock = await _open_session(target, next(request_numbers))
        except OSError:
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        sock.close()
        established += 1
    return established


async def _exchange_lines(sock: socket.socket, until_s: float) -> int:
    """Send lines and wait for their echoes; return the number of echoed lines."""
    loop = asyncio.get_running_loop()
    burst = LINE * LINES_IN_FLIGHT
    echoed = 0
    while time.perf_counter() < until_s:
        await loop.sock_sendall(sock, burst)
        missing_bytes = len(burst)
        while missing_bytes > 0:
            data = await loop.sock_recv(sock, RECEIVE_BYTES)
            if not data:
                raise ConnectionError("the connection ended")
            missing_bytes -= len(data)
        echoed += LINES_IN_FLIGHT
    return echoed


async def _hold_sessions(pipe: Connection, plan: LoadPlan, request_numbers: Iterator[int]) -> None:
    """Open sessions, exchange lines on each, send the number of held sessions, and hold them until END."""
    loop = asyncio.get_running_loop()
    socks: list[socket.socket] = []
    failed = 0
    while len(socks) < plan.clients and failed < MAX_FAILED_OPENS:
        concurrent = min(CONCURRENT_OPENS, plan.clients - len(socks))
        attempts = (_open_session(plan.target, next(request_numbers)) for _ in range(concurrent))
        outcomes = await asyncio.gather(*attempts, return_exceptions=True)
        opened = [outcome for outcome in outcomes if isinstance(outcome, socket.socket)]
        failed += len(outcomes) - len(opened)
        socks += opened
    for _ in range(2):  # so that every connection has been used in both directions
        for sock in socks:
            await loop.sock_sendall(sock, LINE)
            await loop.sock_recv(sock, ANSWER_BYTES)
    pipe.send(len(socks))
    await loop.run_in_executor(None, pipe.recv)
    for sock in socks:
        sock.close()
