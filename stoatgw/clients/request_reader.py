"""A client connection before its request: the first line, within a bound of time and bytes."""

from __future__ import annotations

import asyncio
import contextlib
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

REQUEST_TIMEOUT_S = 2.0  # from accepting to a whole request, however its bytes trickle in and whatever PINGs come
MAX_WAIT_MS = 3_600_000  # no client waits an hour for UP


class RequestReader:
    """Reads one request; `shed` ends the wait early, to make room for others."""

    def __init__(self, sock: socket.socket, context: ProxyContext) -> None:
        self._sock, self._context = sock, context
        self._splitter = LineSplitter()
        self._began = False  # any byte came
        self._over = False  # its time is up
        self._answering = False
        self._woken = asyncio.Event()  # there is something to read, or the time is up

    @property
    def is_expired(self) -> bool:
        """Whether its time was up before it asked."""
        return self._over

    def is_idle(self) -> bool:
        """Whether all that has come is read, and was no request."""
        return not self._unread()

    def _unread(self) -> bool:
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def expire(self) -> None:
        """Time is up. Bytes that have come are read all the same, in case that we are late.

        Our reading is not ended: what crosses the last line could then not be read, and would turn it into a reset.
        """
        self._over = True
        self._woken.set()
        if self._answering:  # and nobody reads the answers
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    async def read_request(self) -> SessionRequest | MalformedRequest | None:
        """The request, or why there is none; None if the client leaves or says nothing."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(REQUEST_TIMEOUT_S, self.expire)
        loop.add_reader(self._sock.fileno(), self._woken.set)
        try:
            while True:
                await self._woken.wait()
                self._woken.clear()
                data: bytes | None = None
                with contextlib.suppress(BlockingIOError):
                    data = self._sock.recv(MAX_LINE_BYTES)
                found = await self._read(data) if data else None
                if found is not None:
                    return found
                if self._over and self._began:
                    self._context.counters.add("clients_timed_out")
                    return MalformedRequest("no request in time")
                if self._over or data == b"":
                    return None
        finally:
            timer.cancel()
            loop.remove_reader(self._sock.fileno())

    async def _read(self, data: bytes) -> SessionRequest | MalformedRequest | None:
        self._began = True
        lines = self._splitter.receive_data(data)
        while lines and lines[0] == PING:
            self._context.counters.add("pings")
            self._answering = True
            answer = PONG + b"\r\n" if self._context.is_ready else encode_busy(0)
            await asyncio.get_running_loop().sock_sendall(self._sock, answer)
            self._answering = False
            lines = lines[1:]
        if lines:
            return self._judge(lines)
        return MalformedRequest("the line is too long") if self._splitter.is_overlong else None

    def _judge(self, lines: list[bytes]) -> SessionRequest | MalformedRequest:
        opened = parse_session_request(lines[0], self._context.request_field_pattern)
        if isinstance(opened, MalformedRequest):
            return opened
        if len(lines) > 1 or self._splitter.trailing_data or self._splitter.is_overlong:
            # A client waits for UP after its line: what comes with it was meant for no session server.
            return MalformedRequest("more came before UP", opened.class_name)
        if opened.class_name not in self._context.class_indexes:
            return MalformedRequest("class is unknown")
        if opened.restore_at is None and opened.timeout_ms > MAX_WAIT_MS:  # one that stood before waits for good
            return MalformedRequest("field d is beyond belief", opened.class_name)
        if not self._context.request_ids.register(opened.request_id):
            return MalformedRequest("the id came before", opened.class_name)
        return opened
