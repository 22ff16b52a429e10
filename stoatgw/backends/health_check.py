"""Health checks: STATS requests on a connection to each backend, kept open between checks."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from stoatgw.backends.backend import Backend
from stoatgw.clock import Clock
from stoatgw.controller.messages import HealthCheckCompleted, MessageQueue
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.line_protocol.grammar import STATS, Keyword, Reply, parse_reply
from stoatgw.line_protocol.splitter import LineSplitter
from stoatgw.sockets import tcp
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import RateLimitedLog

HEALTH_CHECK_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 24  # kept open between checks; limited, as sessions need descriptors, too
READ_SIZE_BYTES = 4096
# Names on the wire of the settings' report columns, where the two differ.
WIRE_NAMES = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}


class LoadReportSchema:
    """The columns of a load report, in the order of the settings."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self._names = [(column, WIRE_NAMES.get(column, column)) for column in columns]

    def to_row(self, report: dict[str, float]) -> tuple[float | None, ...]:
        """Return the report's values in the order of the columns, None for a missing one."""
        return tuple(report.get(wire_name, report.get(column)) for column, wire_name in self._names)


@dataclass(slots=True, eq=False)
class _Check:
    """One health check in progress: `status` is its result if it fails now, `reason` why it failed."""

    backend: Backend
    started_us: int
    sock: socket.socket | None
    status: AttemptStatus = AttemptStatus.DIAL_FAILED
    load_report: tuple[float | None, ...] = ()
    reason: str = ""


class HealthChecker:
    """Checks backends, one check of each at a time, and posts the results to the controller's queue."""

    def __init__(
        self,
        queue: MessageQueue,
        clock: Clock,
        schema: LoadReportSchema,
        connect_timeout_us: int,
        counters: Counters,
        log: RateLimitedLog,
    ) -> None:
        """Start without connections."""
        self._queue = queue
        self._clock = clock
        self._schema = schema
        self._connect_timeout_s = connect_timeout_us / 1e6
        self._counters = counters
        self._log = log
        self._idle: dict[str, socket.socket] = {}  # by backend, least recently used first
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def check(self, backend: Backend) -> None:
        """Start a check, unless one of this backend is in progress, whose result then counts for both."""
        running = self._tasks.get(backend.name)
        if running is not None and not running.done():
            return
        self._tasks[backend.name] = asyncio.get_running_loop().create_task(self._run_check(backend))

    def close(self, name: str) -> None:
        """Close a backend's idle connection; a check in progress ends with a failure."""
        task = self._tasks.pop(name, None)
        if task is not None and not task.done():
            task.cancel()
        sock = self._idle.pop(name, None)
        if sock is not None:
            tcp.close(sock)

    async def _run_check(self, backend: Backend) -> None:
        check = _Check(backend, self._clock.now_us(), self._idle.pop(backend.name, None))
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                reply = await self._request_on_idle(check)
                if reply is None:
                    reply = await self._request_on_new(check)
            self._record_reply(check, reply)
        except TimeoutError:
            check.reason = "timed out"
            if check.status is not AttemptStatus.DIAL_FAILED:
                check.status = AttemptStatus.EXPIRED
        except OSError as error:
            check.reason = str(error)  # `status` already says whether it failed while connecting
        finally:
            if check.reason:
                self._log.event(
                    "health_check_failed", backend=backend.name, status=check.status.value, why=check.reason
                )
            if check.sock is not None:
                tcp.close(check.sock)
            self._counters.add(f"health_checks_{check.status.value}")
            duration_us = self._clock.now_us() - check.started_us
            self._queue.post(HealthCheckCompleted(backend.name, check.status, duration_us, check.load_report))

    async def _request_on_idle(self, check: _Check) -> Reply | None:
        """Request a report on the idle connection; return None if there is none, or it was closed.

        A closed connection says nothing about the backend, which may close an idle one just as it is reused.
        """
        if check.sock is None:
            return None
        reason = "the idle connection was closed"
        try:
            if not _has_ended(check.sock):
                return await _request_report(check.sock)
        except OSError as error:
            reason = str(error)
        tcp.close(check.sock)
        check.sock = None
        self._log.event("health_check_retried", backend=check.backend.name, why=reason)
        return None

    async def _request_on_new(self, check: _Check) -> Reply:
        check.sock = tcp.create_socket()
        async with asyncio.timeout(self._connect_timeout_s):
            await tcp.connect(check.sock, check.backend.address)
        check.status = AttemptStatus.DROPPED
        return await _request_report(check.sock)

    def _record_reply(self, check: _Check, reply: Reply) -> None:
        """Record the result, and keep the connection for the next check if it can be reused."""
        is_healthy = reply.keyword is Keyword.PONG
        check.status = AttemptStatus.DELIVERED if is_healthy else AttemptStatus.APP_ERROR
        if not is_healthy:
            check.reason = f"answered {reply.keyword.name}"
        if reply.fields:
            check.load_report = self._schema.to_row(reply.load_report)
        if is_healthy and check.sock is not None and check.backend.draining_since_us is None:
            self._keep_idle(check.backend.name, check.sock)
            check.sock = None

    def _keep_idle(self, name: str, sock: socket.socket) -> None:
        """Keep a connection; over the limit the least recently used one is closed."""
        self._idle[name] = sock
        while len(self._idle) > MAX_IDLE_CONNECTIONS:
            tcp.close(self._idle.pop(next(iter(self._idle))))


async def _request_report(sock: socket.socket) -> Reply:
    """Send STATS and return the reply. Raises OSError, also for a reply that is not a line."""
    splitter = LineSplitter()
    buffer = bytearray(READ_SIZE_BYTES)
    await tcp.send_all(sock, STATS + b"\r\n")
    while True:
        count = await tcp.receive_into(sock, buffer)
        if not count:
            raise ConnectionError("closed without a reply")
        lines = splitter.receive_data(memoryview(buffer)[:count])
        if lines:
            return parse_reply(lines[0])
        if splitter.is_overlong:
            raise ConnectionError("line too long")


def _has_ended(sock: socket.socket) -> bool:
    """Return whether an idle connection was closed, or contains bytes that reply to no request."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
