"""Accepts client connections, and starts a task for each."""

from __future__ import annotations

import asyncio
import socket

from stoatgw.clients.context import ProxyContext
from stoatgw.clients.session import ClientSession
from stoatgw.clients.session_closer import reject_connection
from stoatgw.config.deployment import Address
from stoatgw.line_protocol.grammar import encode_busy
from stoatgw.sockets import socket_state, tcp

LISTEN_BACKLOG = 4096
MAX_BACKLOG_FAILURES = 10  # of accepting what waits as the process ends


class Listener:
    """The listening socket, and the tasks of the connections accepted from it."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._sock: socket.socket | None = None
        self._sessions: set[asyncio.Task[None]] = set()
        self._is_accepting = asyncio.Event()
        self._is_accepting.set()
        self._accept_task: asyncio.Task[socket.socket] | None = None

    @property
    def open_connections(self) -> int:
        """How many accepted connections are still served."""
        return len(self._sessions)

    def bind(self, address: Address) -> None:
        """Creates the listening socket. Raises OSError."""
        self._sock = tcp.create_listener((address.host, address.port), LISTEN_BACKLOG)

    def adopt(self, sock: socket.socket) -> None:
        """Accepts from a listening socket that others hold as well: it is never shut down here, only closed."""
        self._sock = sock

    def set_accepting(self, accepting: bool) -> None:
        """Begins or ceases to accept: other connections stay in the backlog for whoever else accepts there."""
        if accepting:
            self._is_accepting.set()
        else:
            self._is_accepting.clear()
            if self._accept_task is not None:
                self._accept_task.cancel()

    async def close(self) -> None:
        """Accepts what waits in the backlog, which the end of the process would reset, and closes the socket."""
        self.set_accepting(False)
        if self._accept_task is not None:
            await asyncio.wait([self._accept_task])
        if self._sock is not None:
            self._accept_backlog(self._sock)
            self._sock.close()

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accepts all connections that wait; a call may fail for a moment, or for want of descriptors."""
        failures = 0
        while failures < MAX_BACKLOG_FAILURES:
            try:
                if not socket_state.has_backlog(listener):
                    return
                self._start_session(tcp.accept_nowait(listener))
            except OSError:
                failures += 1

    async def run(self) -> None:
        """Accepts connections for good; returns at once if there is no socket."""
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        while True:
            await self._is_accepting.wait()
            self._accept_task = loop.create_task(tcp.accept(self._sock))
            await asyncio.wait([self._accept_task])
            if self._accept_task.cancelled():
                continue
            error = self._accept_task.exception()
            if error is not None:
                # EMFILE, ECONNABORTED and the like: open sessions go on.
                self._context.counters.add("accept_failures")
                self._context.rate_limited_log.event("accept_failed", error=str(error))
                await asyncio.sleep(tcp.ACCEPT_RETRY_INTERVAL_S)
                continue
            self._start_session(self._accept_task.result())

    def _start_session(self, sock: socket.socket) -> None:
        context = self._context
        context.counters.add("connections")
        if context.descriptor_limiter.admit_connection():
            connection = ClientSession(sock, context).run()
        else:
            context.counters.add("connections_rejected")
            context.rate_limited_log.event("connection_rejected", why="too few descriptors are left")
            connection = reject_connection(context, sock, encode_busy(0))
        task = asyncio.get_running_loop().create_task(connection)
        self._sessions.add(task)
        task.add_done_callback(self._sessions.discard)
