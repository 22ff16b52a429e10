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

READ_SIZE_BYTES = 8192
MAX_DISCARDED_BYTES = 1 << 30  # however many bytes a backend still sends: the timeout bounds them
MAX_REASON_BYTES = 60

STATUS_BY_FIRST_REPLY = {
    Keyword.BYE: AttemptStatus.DELIVERED,
    Keyword.MOVE: AttemptStatus.REVOKED,
    Keyword.BUSY: AttemptStatus.SHED,
    Keyword.ERR: AttemptStatus.APP_ERROR,
}
STATUS_BY_LAST_LINE = {
    Keyword.BYE: AttemptStatus.DELIVERED,
    Keyword.MOVE: AttemptStatus.REVOKED,
}
LoadReportRow = Callable[[dict[str, float]], tuple[float | None, ...]]


class RelayListener(Protocol):
    """The client's side of an established session."""

    def lines_received(self, lines: list[bytes]) -> None:
        """Observe complete lines of the backend; called before `forward` gets the bytes that complete them."""
        ...

    def forward(self, data: bytes) -> Awaitable[None]:
        """Send the backend's bytes to the client, with backpressure."""
        ...


class Attempt:
    """One attempt: `open`, then `relay` if it was established, then one of the ways to close."""

    __slots__ = (
        "_backend",
        "_clock",
        "_connect_timeout_us",
        "_drain_grace_us",
        "_last_keyword",
        "_lines_after_up",
        "_on_sent",
        "_sock",
        "_splitter",
        "_to_load_report_row",
        "established_data",
        "stage",
        "was_reset",
    )

    def __init__(
        self,
        backend: Backend,
        clock: Clock,
        connect_timeout_us: int,
        drain_grace_us: int,
        to_load_report_row: LoadReportRow,
        on_sent: Callable[[], None],
    ) -> None:
        """Prepare the attempt.

        Args:
            backend: The session server.
            clock: What all deadlines are measured by.
            connect_timeout_us: The time to connect in, if the deadline leaves as much.
            drain_grace_us: How long a draining backend still accepts requests.
            to_load_report_row: Puts a load report in the order of the settings' columns.
            on_sent: Called when the request has been sent to its last byte.
        """
        self._backend = backend
        self._clock = clock
        self._connect_timeout_us = connect_timeout_us
        self._drain_grace_us = drain_grace_us
        self._to_load_report_row = to_load_report_row
        self._on_sent = on_sent
        self._sock: socket.socket | None = None
        self._splitter = LineSplitter()
        self._last_keyword = Keyword.OTHER
        self._lines_after_up: list[bytes] = []  # that arrived in one piece with UP
        self.stage = AttemptStage.CONNECTING
        self.established_data = b""
        """The UP line and what came with it, byte for byte."""
        self.was_reset = False
        """The backend ended the established session with a reset."""

    async def open(
        self, encode_request: Callable[[int], bytes], deadline_us: int, send_before_us: int = 0
    ) -> AttemptEnd | None:
        """Connect, send the request and wait for UP; None once the session is established.

        Args:
            encode_request: Gives the request's line for the milliseconds that are left.
            deadline_us: When the attempt is given up.
            send_before_us: The request is not sent at that time or later; 0: at any time.
        """
        try:
            self._sock = tcp.create_socket()
        except OSError as error:  # no descriptor is left: that says nothing about the backend
            return self._end(AttemptStatus.UNUSED, str(error))
        try:
            timeout_us = min(self._connect_timeout_us, deadline_us - self._clock.now_us())
            async with asyncio.timeout(timeout_us / 1e6) as timeout:
                await asyncio.get_running_loop().sock_connect(self._sock, self._backend.address)
                now_us = self._clock.now_us()
                obstacle = self._find_obstacle(now_us, deadline_us, send_before_us)
                if obstacle:
                    return self._end(AttemptStatus.DIAL_FAILED, obstacle)
                timeout.reschedule(asyncio.get_running_loop().time() + (deadline_us - now_us) / 1e6)
                await self._send_request(self._sock, encode_request((deadline_us - now_us) // 1000))
                return await self._receive_first_reply(self._sock)
        except TimeoutError:
            return self._end(self._failure_status(AttemptStatus.EXPIRED), "timed out")
        except OSError as error:
            return self._end(self._failure_status(AttemptStatus.DROPPED), str(error))

    async def relay(self, listener: RelayListener) -> AttemptEnd:
        """Forward all lines of an established session until the backend ends the connection."""
        loop = asyncio.get_running_loop()
        assert self._sock is not None, "relay comes after open"
        try:
            self._notify(listener, self._lines_after_up)
            # No buffer is kept while nothing arrives: most sessions are idle most of the time.
            while data := await loop.sock_recv(self._sock, READ_SIZE_BYTES):
                self._notify(listener, self._splitter.receive_data(data))
                await listener.forward(data)
        except OSError as error:
            self.was_reset = True
            if self._last_keyword not in STATUS_BY_LAST_LINE:
                return self._end(AttemptStatus.DROPPED, str(error))
        status = STATUS_BY_LAST_LINE.get(self._last_keyword, AttemptStatus.DROPPED)
        return self._end(status, "ended by the backend")

    async def send(self, data: bytes) -> None:
        """Send the client's bytes to the backend, with backpressure. Raises OSError."""
        if self._sock is not None:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def close(self, *, reset: bool = False) -> None:
        """Close at once, with FIN or, if asked, with RST."""
        if self._sock is not None:
            tcp.close(self._sock, reset=reset)

    def half_close(self) -> None:
        """Shut down sending: what was sent still arrives, also while the backend's bytes are unread."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close once the backend has shut down sending, or after the timeout."""
        if self._sock is not None:
            await tcp.close_gracefully(self._sock, b"", timeout_s, MAX_DISCARDED_BYTES)

    def _find_obstacle(self, now_us: int, deadline_us: int, send_before_us: int) -> str:
        """Return why the request must not be sent any more, "" if it may: connecting takes time."""
        if send_before_us and now_us >= send_before_us:
            return "too late to repeat"
        if not self._backend.accepts_new_sessions(now_us, self._drain_grace_us):
            return "it left meanwhile"
        if now_us >= deadline_us:
            return "no time left"
        return ""

    async def _send_request(self, sock: socket.socket, line: bytes) -> None:
        self.stage = AttemptStage.SENDING
        await tcp.send_all(sock, line)
        self.stage = AttemptStage.SENT
        self._on_sent()

    async def _receive_first_reply(self, sock: socket.socket) -> AttemptEnd | None:
        loop = asyncio.get_running_loop()
        lines: list[bytes] = []
        while not lines:
            data = await loop.sock_recv(sock, READ_SIZE_BYTES)
            if not data:
                return self._end(AttemptStatus.DROPPED, "ended without a word")
            self.established_data += data
            lines = self._splitter.receive_data(data)
            if not lines and self._splitter.is_overlong:
                return self._end(AttemptStatus.APP_ERROR, "overlong line")
        reply = parse_reply(lines[0])
        if reply.keyword is Keyword.UP:
            self.stage = AttemptStage.ESTABLISHED
            self._lines_after_up = lines[1:]
            return None
        status = STATUS_BY_FIRST_REPLY.get(reply.keyword, AttemptStatus.APP_ERROR)
        return self._end(status, lines[0][:MAX_REASON_BYTES].decode("ascii", "replace"), reply.load_report)

    def _notify(self, listener: RelayListener, lines: list[bytes]) -> None:
        if lines:
            self._last_keyword = parse_reply(lines[-1]).keyword
            listener.lines_received(lines)

    def _failure_status(self, status_if_sent: AttemptStatus) -> AttemptStatus:
        """Return the status of a failed attempt: a request that was not sent to its last byte never ran."""
        return status_if_sent if self.stage is AttemptStage.SENT else AttemptStatus.DIAL_FAILED

    def _end(self, status: AttemptStatus, reason: str, load_report: dict[str, float] | None = None) -> AttemptEnd:
        row = self._to_load_report_row(load_report) if load_report else ()
        return AttemptEnd(status, self.stage, reason, row)
