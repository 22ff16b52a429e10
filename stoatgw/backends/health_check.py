"""Probes: STATS on a kept connection to each backend."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from stoatgw.backends.backend import Backend
from stoatgw.clock import Clock
from stoatgw.controller.messages import HealthCheckCompleted, MessageQueue
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.line_protocol.grammar import STATS, Keyword, Reply, parse_reply
from stoatgw.line_protocol.splitter import LineSplitter
from stoatgw.sockets import tcp
from stoatgw.telemetry.counters import Counters

TIME_LIMIT_S = 0.5
KEPT_MOST = 24  # connections that rest between probes: descriptors that others need
# The fields on sockets, by the names that the settings give the same columns.
FIELDS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}


class LoadReportSchema:
    """A report by name, put in the order of the settings' columns."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self._names = [(column, FIELDS.get(column, column)) for column in columns]

    def to_row(self, report: dict[str, float]) -> tuple[float | None, ...]:
        return tuple(report.get(field, report.get(column)) for column, field in self._names)


class HealthChecker:
    def __init__(
        self, owner: MessageQueue, clock: Clock, columns: LoadReportSchema, dial_us: int, counters: Counters
    ) -> None:
        self._owner, self._clock, self._columns = owner, clock, columns
        self._dial_s, self._counters = dial_us / 1e6, counters
        self._kept: dict[str, socket.socket] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def check(self, backend: Backend) -> None:
        running = self._tasks.get(backend.name)
        if running is not None and not running.done():
            return  # one at a time: its result is this one's too
        task = asyncio.get_running_loop().create_task(self._probe(backend))
        self._tasks[backend.name] = task

    def close(self, name: str) -> None:
        """Give back what is kept; a probe under way ends with a failure."""
        task = self._tasks.pop(name, None)
        if task is not None and not task.done():
            task.cancel()
        sock = self._kept.pop(name, None)
        if sock is not None:
            tcp.close(sock)

    async def _probe(self, backend: Backend) -> None:
        began_us = self._clock.now_us()
        status, row = AttemptStatus.DIAL_FAILED, tuple[float | None, ...]()
        sock, reply = self._kept.pop(backend.name, None), None
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                if sock is not None:
                    # Guards against a sound backend taken for a lost one: it may end a resting connection as we ask.
                    with contextlib.suppress(OSError):
                        reply = None if _ended(sock) else await self._ask(sock)
                    if reply is None:
                        tcp.close(sock)
                        sock = None
                if sock is None or reply is None:
                    sock = tcp.create_socket()
                    await self._connect(sock, backend)
                    status = AttemptStatus.DROPPED
                    reply = await self._ask(sock)
            status = AttemptStatus.DELIVERED if reply.keyword is Keyword.PONG else AttemptStatus.APP_ERROR
            row = self._columns.to_row(reply.load_report) if reply.fields else ()
            if reply.keyword is Keyword.PONG and backend.draining_since_us is None:
                self._keep(backend.name, sock)
                sock = None
        except TimeoutError:
            status = AttemptStatus.DIAL_FAILED if status is AttemptStatus.DIAL_FAILED else AttemptStatus.EXPIRED
        except OSError:
            pass
        finally:
            if sock is not None:
                tcp.close(sock)
            self._counters.add(f"health_checks_{status.value}")
            self._owner.post(HealthCheckCompleted(backend.name, status, self._clock.now_us() - began_us, row))

    def _keep(self, name: str, sock: socket.socket) -> None:
        """The least lately used goes: among many backends each rests until it is closed from there."""
        self._kept[name] = sock
        while len(self._kept) > KEPT_MOST:
            tcp.close(self._kept.pop(next(iter(self._kept))))

    async def _connect(self, sock: socket.socket, backend: Backend) -> None:
        async with asyncio.timeout(self._dial_s):
            await asyncio.get_running_loop().sock_connect(sock, backend.address)

    async def _ask(self, sock: socket.socket) -> Reply:
        loop, splitter, buffer = asyncio.get_running_loop(), LineSplitter(), bytearray(4096)
        await loop.sock_sendall(sock, STATS + b"\r\n")
        while True:
            count = await loop.sock_recv_into(sock, buffer)
            if not count:
                raise ConnectionError("ended without a word")
            lines = splitter.receive_data(memoryview(buffer)[:count])
            if lines:
                return parse_reply(lines[0])
            if splitter.is_overlong:
                raise ConnectionError("overlong line")


def _ended(sock: socket.socket) -> bool:
    """Whether a kept connection was closed, or holds bytes that answer nothing we asked."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
