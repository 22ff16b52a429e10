"""One attempt: a connection to a backend for one client. Its end is a value, never an exception."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from stoatgw.backends.backend import Backend
from stoatgw.clock import Clock
from stoatgw.controller.messages import AttemptEnd, AttemptStage
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.line_protocol.grammar import Keyword, parse_reply
from stoatgw.line_protocol.splitter import LineSplitter
from stoatgw.sockets import tcp

READ_SIZE_BYTES = 8192  # bytes read at once
PARTING_MOST = 1 << 30  # a backend's bytes on their way, however many: its time is what bounds them
REFUSALS = {
    Keyword.BYE: AttemptStatus.DELIVERED,
    Keyword.MOVE: AttemptStatus.REVOKED,
    Keyword.BUSY: AttemptStatus.SHED,
    Keyword.ERR: AttemptStatus.APP_ERROR,
}
Row = Callable[[dict[str, float]], tuple[float | None, ...]]


class RelayListener(Protocol):
    """The client's side of a standing connection."""

    def lines_received(self, lines: list[bytes]) -> None: ...

    def forward(self, data: bytes) -> Awaitable[None]: ...


class Attempt:
    def __init__(
        self, backend: Backend, clock: Clock, dial_us: int, grace_us: int, row: Row, sent: Callable[[], None]
    ) -> None:
        self._backend, self._clock, self._row = backend, clock, row
        self._dial_us, self._grace_us, self._sent = dial_us, grace_us, sent
        self._sock: socket.socket | None = None
        self._splitter = LineSplitter()
        self._last = Keyword.OTHER
        self._with_up: list[bytes] = []  # whole lines that came in one piece with UP
        self.stage = AttemptStage.CONNECTING
        self.established_data = b""  # the UP line and what came with it, as it came
        self.was_reset = False  # the backend ended with a reset

    async def open(self, line: Callable[[int], bytes], cut_at_us: int, begin_by_us: int = 0) -> AttemptEnd | None:
        """Connect, send the line, wait for UP. None: it is up. `begin_by_us`: no line is sent later; 0: at any time."""
        loop = asyncio.get_running_loop()
        try:
            sock = self._sock = tcp.create_socket()
        except OSError as error:  # no descriptor is left: nothing is said of the backend
            return self._end(AttemptStatus.UNUSED, str(error))
        try:
            wait_us = cut_at_us - self._clock.now_us()
            async with asyncio.timeout(min(self._dial_us, wait_us) / 1e6) as limit:
                await loop.sock_connect(sock, self._backend.address)
                now_us = self._clock.now_us()
                # Guards the window of a repeat: connecting may have outlasted it.
                if begin_by_us and now_us >= begin_by_us:
                    return self._end(AttemptStatus.DIAL_FAILED, "too late to repeat")
                # Guards the drain rule: connecting may have outlasted the grace.
                if not self._backend.accepts_new_sessions(now_us, self._grace_us):
                    return self._end(AttemptStatus.DIAL_FAILED, "it left meanwhile")
                if now_us >= cut_at_us:
                    return self._end(AttemptStatus.DIAL_FAILED, "no time left")
                limit.reschedule(loop.time() + (cut_at_us - now_us) / 1e6)
                self.stage = AttemptStage.SENDING
                await tcp.send_all(sock, line((cut_at_us - now_us) // 1000))
                self.stage = AttemptStage.SENT
                self._sent()
                return await self._first(loop, sock)
        except TimeoutError:
            status = AttemptStatus.EXPIRED if self.stage is AttemptStage.SENT else AttemptStatus.DIAL_FAILED
            return self._end(status, "timed out")
        except OSError as error:
            # A line that was not wholly written never ran.
            status = AttemptStatus.DROPPED if self.stage is AttemptStage.SENT else AttemptStatus.DIAL_FAILED
            return self._end(status, str(error))

    async def _first(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> AttemptEnd | None:
        while True:
            data = await loop.sock_recv(sock, READ_SIZE_BYTES)
            if not data:
                return self._end(AttemptStatus.DROPPED, "ended without a word")
            self.established_data += data
            lines = self._splitter.receive_data(data)
            if lines:
                reply = parse_reply(lines[0])
                if reply.keyword is Keyword.UP:
                    self.stage = AttemptStage.ESTABLISHED
                    self._with_up = lines[1:]
                    return None
                status = REFUSALS.get(reply.keyword, AttemptStatus.APP_ERROR)
                return self._end(status, lines[0][:60].decode("ascii", "replace"), reply.load_report)
            if self._splitter.is_overlong:
                return self._end(AttemptStatus.APP_ERROR, "overlong line")

    async def relay(self, listener: RelayListener) -> AttemptEnd:
        """Pass all on until the backend ends the connection."""
        loop = asyncio.get_running_loop()
        assert self._sock is not None  # it is up
        try:
            self._hear(self._with_up, listener)
            # No buffer is held while nothing comes: most connections wait most of the time.
            while data := await loop.sock_recv(self._sock, READ_SIZE_BYTES):
                self._hear(self._splitter.receive_data(data), listener)
                await listener.forward(data)
        except OSError as error:
            self.was_reset = True
            if self._last not in (Keyword.BYE, Keyword.MOVE):
                return self._end(AttemptStatus.DROPPED, str(error))
        ended = {Keyword.BYE: AttemptStatus.DELIVERED, Keyword.MOVE: AttemptStatus.REVOKED}
        return self._end(ended.get(self._last, AttemptStatus.DROPPED), "ended by the backend")

    def _hear(self, lines: list[bytes], listener: RelayListener) -> None:
        if lines:
            self._last = parse_reply(lines[-1]).keyword
            listener.lines_received(lines)

    async def send(self, data: bytes) -> None:
        if self._sock is not None:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def close(self, *, reset: bool = False) -> None:
        if self._sock is not None:
            tcp.close(self._sock, reset=reset)

    def half_close(self) -> None:
        """End our sending: what was sent still arrives, also where the backend's bytes stand unread."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    async def close_gracefully(self, wait_s: float) -> None:
        """Close once the backend has ended its side, or after that time."""
        if self._sock is not None:
            await tcp.close_gracefully(self._sock, b"", wait_s, PARTING_MOST)

    def _end(self, status: AttemptStatus, why: str, report: dict[str, float] | None = None) -> AttemptEnd:
        return AttemptEnd(status, self.stage, why, self._row(report) if report else ())
