"""Reading a connection's request: its first line, within a time and a size limit."""

from __future__ import annotations

import asyncio
import socket

from stoatgw.clients.context import ProxyContext
from stoatgw.line_protocol.grammar import (
    PING,
    PONG,
    MalformedRequest,
    SessionRequest,
    encode_busy,
    parse_session_request,
)
from stoatgw.line_protocol.splitter import MAX_LINE_BYTES, LineSplitter
from stoatgw.sockets import tcp, transient, watches

REQUEST_TIMEOUT_S = 2.0  # from accept to a complete request, including slowly arriving bytes and preceding PINGs
MAX_TIMEOUT_MS = 3_600_000  # sanity limit: no client waits an hour for UP


class RequestReader:
    """Reads one request; an `IdleConnection` of the descriptor limiter until it is complete.

    Attributes:
        is_expired: The wait for a request has ended, by the timeout or because the descriptor is needed.
    """

    __slots__ = ("_context", "_has_received", "_is_answering_ping", "_ready", "_sock", "_splitter", "is_expired")

    def __init__(self, sock: socket.socket, context: ProxyContext) -> None:
        self._sock = sock
        self._context = context
        self._splitter = LineSplitter()
        self._has_received = False
        self.is_expired = False
        self._is_answering_ping = False
        self._ready: asyncio.Future[None] | None = None  # done when there is data to read or the wait has expired

    @property
    def holds_partial_request(self) -> bool:
        """Whether part of a request was received, but not the rest."""
        return bool(self._splitter.trailing_data)

    def is_idle(self) -> bool:
        """Return whether all received data has been read, and contained no request."""
        return not self._has_unread_data()

    def _has_unread_data(self) -> bool:
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass  # a broken connection also has something to read
        return True

    def expire(self) -> None:
        """End the wait for a request. Data that was already received is still read, in case the event loop runs late.

        Receiving is not shut down: data that arrives after the last line is sent must be read, or the close becomes a
        reset.
        """
        self.is_expired = True
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(None)
        if self._is_answering_ping:  # wakes a send to a client that does not read the answers
            tcp.shut_down(self._sock)

    async def read_request(self) -> SessionRequest | MalformedRequest | None:
        """Read the request; return None if the client disconnects or sends nothing. Raises OSError."""
        timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.expire)
        try:
            return await self._read_until_complete()
        finally:
            timer.cancel()

    async def _read_until_complete(self) -> SessionRequest | MalformedRequest | None:
        while True:
            data = await self._receive()
            request = await self._receive_data(data) if data else None
            if request is not None:
                return request
            if self.is_expired and self._has_received:
                self._context.counters.add("clients_timed_out")
                return MalformedRequest("no request in time")
            if self.is_expired or data == b"":
                return None

    async def _receive(self) -> bytes | None:
        """Wait for data or for the expiry, and return the data; None if there is none. Raises OSError."""
        try:
            if not self.is_expired:
                self._ready = asyncio.get_running_loop().create_future()
                await watches.wait_readable(self._sock, self._ready)
            return self._sock.recv(MAX_LINE_BYTES)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            if error.errno not in transient.TRANSIENT_ERRNOS:
                raise
            await asyncio.sleep(transient.TRANSIENT_RETRY_INTERVAL_S)
            return None

    async def _receive_data(self, data: bytes) -> SessionRequest | MalformedRequest | None:
        self._has_received = True
        lines = self._splitter.receive_data(data)
        while lines and lines[0] == PING:
            await self._answer_ping()
            lines = lines[1:]
        if lines:
            return self._parse_request(lines)
        return MalformedRequest("the line is too long") if self._splitter.is_overlong else None

    async def _answer_ping(self) -> None:
        self._context.counters.add("pings")
        self._is_answering_ping = True
        answer = PONG + b"\r\n" if self._context.is_ready else encode_busy(0)
        await tcp.send_all(self._sock, answer)
        self._is_answering_ping = False

    def _parse_request(self, lines: list[bytes]) -> SessionRequest | MalformedRequest:
        request = parse_session_request(lines[0], self._context.request_field_pattern)
        if isinstance(request, MalformedRequest):
            return request
        reason = self._find_error(request, has_more=len(lines) > 1)
        return request if reason is None else MalformedRequest(reason, request.class_name)

    def _find_error(self, request: SessionRequest, *, has_more: bool) -> str | None:
        if has_more or self._splitter.trailing_data or self._splitter.is_overlong:
            # A client has to wait for UP after its first line: further data is not a session server's to handle.
            return "more came before UP"
        if request.class_name not in self._context.class_indexes:
            return "class is unknown"
        # A restored session waits without limit.
        if request.previous_server is None and request.timeout_ms > MAX_TIMEOUT_MS:
            return "field d is beyond belief"
        if not self._context.request_ids.register(request.request_id):
            return "the id came before"
        return None
