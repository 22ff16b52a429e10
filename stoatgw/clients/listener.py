"""Accepting client connections, with a task for each."""

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
MAX_FURTHER_ACCEPTS = 63  # after each wait; the accepted clients are read before more are accepted
MAX_BACKLOG_FAILURES = 10  # failed calls, in total, while accepting the backlog as the process ends


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
        """The number of accepted connections that are still served."""
        return len(self._sessions)

    def bind(self, address: Address) -> None:
        """Create the listening socket. Raises OSError."""
        self._sock = tcp.create_listener((address.host, address.port), LISTEN_BACKLOG)

    def adopt(self, sock: socket.socket) -> None:
        """Accept from a listening socket that other processes share: it is closed at the end, but never shut down."""
        self._sock = sock

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting; while stopped, connections stay in the backlog for other processes to accept."""
        if accepting:
            self._is_accepting.set()
        else:
            self._is_accepting.clear()
            if self._accept_task is not None:
                self._accept_task.cancel()

    async def close(self) -> None:
        """Accept the backlog, which the end of the process would reset, and close the socket."""
        self.set_accepting(False)
        if self._accept_task is not None:
            await asyncio.wait([self._accept_task])
        if self._sock is not None:
            self._accept_backlog(self._sock)
            self._sock.close()

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept all pending connections; calls may fail with a transient error or for lack of descriptors."""
        failures = 0
        while failures < MAX_BACKLOG_FAILURES:
            try:
                if not socket_state.has_backlog(listener):
                    return
                self._start_session(tcp.accept_nowait(listener))
            except OSError:
                failures += 1

    async def run(self) -> None:
        """Accept connections until cancelled; return immediately if there is no socket."""
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
                self._record_failure(error)
                await asyncio.sleep(tcp.ACCEPT_RETRY_INTERVAL_S)
                continue
            self._start_session(self._accept_task.result())
            if self._is_accepting.is_set():  # not if another process has taken over in the same iteration
                self._accept_pending(self._sock)

    def _accept_pending(self, listener: socket.socket) -> None:
        """Accept what else is pending: each wait takes several iterations of the event loop, which may be loaded."""
        for _ in range(MAX_FURTHER_ACCEPTS):
            try:
                self._start_session(tcp.accept_nowait(listener))
            except BlockingIOError:
                return
            except OSError as error:
                self._record_failure(error)
                return

    def _record_failure(self, error: BaseException) -> None:
        """Record a failed accept: EMFILE, ECONNABORTED and the like, while open sessions continue."""
        self._context.counters.add("accept_failures")
        self._context.rate_limited_log.event("accept_failed", error=str(error))

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
