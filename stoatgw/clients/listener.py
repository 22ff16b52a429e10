"""Takes client connections in, and watches over the message times of those that stand."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from stoatgw.backends.latency import current_latency_ms
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.session import ClientSession
from stoatgw.config.deployment import Address
from stoatgw.controller.messages import SessionMetricObserved
from stoatgw.decisions.interface import SessionMetricKind
from stoatgw.line_protocol.grammar import encode_busy
from stoatgw.sockets import tcp

LISTEN_BACKLOG = 4096
MONITOR_INTERVAL_S = 0.25
# A client sends a line every 2 s, and one that brings nothing back is to be moved within 7 s of the last that came:
# with the watch and the wait for the end of a line, 5 s were too many.
UNANSWERED_TIMEOUT_US = 4_000_000
DELAY_PART = 3  # message delays are told from a third of the shortest aim on


class Listener:
    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._sock: socket.socket | None = None
        self._sessions: set[asyncio.Task[None]] = set()
        aims = [profile.message_aim_us for profile in context.deployment.settings.profiles]
        self._tell_ms = min(aims) / 1000 / DELAY_PART
        self._told: set[str] = set()
        self._wanted = asyncio.Event()
        self._wanted.set()
        self._accepting: asyncio.Task[socket.socket] | None = None

    @property
    def open_connections(self) -> int:
        return len(self._sessions)

    def bind(self, address: Address) -> None:
        """Raises OSError."""
        self._sock = tcp.create_listener((address.host, address.port), LISTEN_BACKLOG)

    def adopt(self, sock: socket.socket) -> None:
        """Accept from a listening socket that others hold as well: it is never shut down here, only closed."""
        self._sock = sock

    def set_accepting(self, wanted: bool) -> None:
        """Whether to take connections: those not taken wait in the backlog for whoever else accepts there."""
        if wanted:
            self._wanted.set()
        else:
            self._wanted.clear()
            if self._accepting is not None:
                self._accepting.cancel()

    async def close(self) -> None:
        """Take in what waits in the backlog, and listen no more: the process's end would reset those that asked."""
        self.set_accepting(False)
        if self._accepting is not None:
            await asyncio.wait([self._accepting])
        if self._sock is not None:
            with contextlib.suppress(OSError):  # none is left, or no descriptor
                while True:
                    self._start_session(tcp.accept_nowait(self._sock))
            self._sock.close()

    async def run(self) -> None:
        loop, context = asyncio.get_running_loop(), self._context
        if self._sock is None:
            return
        while True:
            await self._wanted.wait()
            self._accepting = loop.create_task(tcp.accept(self._sock))
            await asyncio.wait([self._accepting])
            if self._accepting.cancelled():
                continue
            fault = self._accepting.exception()
            if fault is not None:
                # EMFILE, ECONNABORTED and their like: what is open serves on.
                context.counters.add("accept_failures")
                context.log.event("accept_failed", error=str(fault))
                await asyncio.sleep(tcp.ACCEPT_RETRY_INTERVAL_S)
                continue
            self._start_session(self._accepting.result())

    def _start_session(self, sock: socket.socket) -> None:
        context = self._context
        context.counters.add("connections")
        if not context.descriptor_limiter.admit_connection():
            context.counters.add("connections_rejected")
            answered = context.reject_connection(sock, encode_busy(0))
        else:
            answered = ClientSession(sock, context).run()
        task = asyncio.get_running_loop().create_task(answered)
        self._sessions.add(task)
        task.add_done_callback(self._sessions.discard)

    async def monitor_sessions(self) -> None:
        """Tell message delays once a second; give up connections that bring nothing back."""
        turn = 0
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            turn += 1
            try:
                self._check_sessions(turn % round(1 / MONITOR_INTERVAL_S) == 0)
            except Exception as fault:  # a fault here must not end the proxy
                self._context.counters.add("session_monitor_failures")
                self._context.log.event("session_monitor_failed", error=repr(fault))

    def _check_sessions(self, tell: bool) -> None:
        now_us = self._context.clock.now_us()
        for standing in list(self._context.established_sessions.values()):
            if standing.latency.oldest_pending_us(now_us) > UNANSWERED_TIMEOUT_US:
                self._context.counters.add("sessions_unanswered")
                standing.latency.pending.clear()
                standing.abandon_server()
        if tell and self._context.deployment.reports_message_delay:
            self._tell_delays(now_us)

    def _tell_delays(self, now_us: int) -> None:
        """While a backend's delay is over a third of the shortest aim, and once when it is back under."""
        told = set()
        for server, standing in self._context.sessions_by_server():
            delay_ms = current_latency_ms([each.latency for each in standing], now_us)
            late = delay_ms > self._tell_ms
            if late:
                told.add(server)
                self._context.counters.add("latencies_reported")
            if late or server in self._told:
                self._context.controller.post(
                    SessionMetricObserved(standing[0].state, SessionMetricKind.DELAY, delay_ms)
                )
        self._told = told
