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
    """The client's side of an established session.

    Attributes:
        last_keyword: The first word of the last complete line that the backend has sent.
    """

    last_keyword: Keyword

    def forward(self, data: bytes) -> Awaitable[None]:
        """Send the backend's bytes to the client, with backpressure."""
        ...


class Attempt:
    """One attempt: `open`, then `relay` if it was established, then one of the ways to close."""

    __slots__ = (
        "_backend",
        "_break_reason",
        "_clock",
        "_connect_timeout_us",
        "_drain_grace_us",
        "_on_sent",
        "_sock",
        "_splitter",
        "_to_load_report_row",
        "established_data",
        "has_ended",
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
        self._splitter = LineSplitter()  # until UP
        self._break_reason = ""
        self.stage = AttemptStage.CONNECTING
        self.established_data = b""
        """The UP line and what came with it, byte for byte."""
        self.has_ended = False
        """All that the backend sent on the established session is read, and its end."""
        self.was_reset = False
        """The backend ended the established session with a reset."""

    @property
    def descriptor(self) -> int | None:
        """The descriptor of its connection; None before there is one."""
        return self._sock.fileno() if self._sock is not None else None

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
                await tcp.connect(self._sock, self._backend.address)
                now_us = self._clock.now_us()
                obstacle = self._find_obstacle(now_us, deadline_us, send_before_us)
                if obstacle:
                    return self._end(AttemptStatus.DIAL_FAILED, obstacle)
                timeout.reschedule(asyncio.get_running_loop().time() + (deadline_us - now_us) / 1e6)
                await self._send_request(self._sock, encode_request((deadline_us - now_us) // 1000))
                return await self._receive_first_reply(self._sock)
        except TimeoutError:
            if self._has_unread_up():
                return None
            return self._end(self._failure_status(AttemptStatus.EXPIRED), "timed out")
        except OSError as error:
            return self._end(self._failure_status(AttemptStatus.DROPPED), str(error))

    async def relay(self, listener: RelayListener) -> AttemptEnd:
        """Forward all that an established session brings until the backend ends the connection."""
        assert self._sock is not None, "relay comes after open"
        try:
            # No buffer is kept while nothing arrives: most sessions are idle most of the time.
            while data := await tcp.receive(self._sock, READ_SIZE_BYTES):
                await listener.forward(data)
        except OSError as error:
            self.record_connection_error(error)
        self.has_ended = True
        status = STATUS_BY_LAST_LINE.get(listener.last_keyword)
        if status is not None:
            self.was_reset = False  # it announced its end: a reset behind that is no sign of a fault
            return self._end(status, "ended by the backend")
        return self._end(AttemptStatus.DROPPED, self._break_reason or "ended by the backend")

    def record_connection_error(self, error: OSError) -> None:
        """Note that a call on the established session failed: which of its tasks the kernel tells is chance.

        EPIPE alone tells of a backend that has ended in an orderly way, before what was sent to it arrived.
        """
        if not isinstance(error, BrokenPipeError):
            self.was_reset = True
        self._break_reason = self._break_reason or str(error)

    def send(self, data: bytes) -> Awaitable[None]:
        """Send the client's bytes to the backend, with backpressure. Raises OSError when awaited."""
        assert self._sock is not None, "only an established session is sent to"
        return tcp.send_all(self._sock, data)

    def close(self, *, reset: bool = False) -> None:
        """Close at once, with FIN or, if asked, with RST."""
        if self._sock is not None:
            tcp.close(self._sock, reset=reset)

    def half_close(self) -> None:
        """Shut down sending: what was sent still arrives, also while the backend's bytes are unread."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                tcp.shut_down_sending(self._sock)

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
        lines: list[bytes] = []
        while not lines:
            data = await tcp.receive(sock, READ_SIZE_BYTES)
            if not data:
                return self._end(AttemptStatus.DROPPED, "ended without a word")
            lines = self._receive_before_up(data)
            if not lines and self._splitter.is_overlong:
                return self._end(AttemptStatus.APP_ERROR, "overlong line")
        if self._accept_up(lines):
            return None
        reply = parse_reply(lines[0])
        status = STATUS_BY_FIRST_REPLY.get(reply.keyword, AttemptStatus.APP_ERROR)
        return self._end(status, lines[0][:MAX_REASON_BYTES].decode("ascii", "replace"), reply.load_report)

    def _receive_before_up(self, data: bytes) -> list[bytes]:
        self.established_data += data
        return self._splitter.receive_data(data)

    def _accept_up(self, lines: list[bytes]) -> bool:
        """Whether the first reply is UP; then the session is established."""
        if parse_reply(lines[0]).keyword is not Keyword.UP:
            return False
        self.stage = AttemptStage.ESTABLISHED
        return True

    def _has_unread_up(self) -> bool:
        """Whether UP has come all the same as the wait for it timed out.

        Both may happen in one iteration of the loop; closed over an UP that has come, a sound session would be cut off.
        """
        if self._sock is None or self.stage is not AttemptStage.SENT:
            return False
        try:
            data = tcp.receive_nowait(self._sock, READ_SIZE_BYTES)
        except OSError:  # nothing has come
            return False
        lines = self._receive_before_up(data)
        return bool(lines) and self._accept_up(lines)

    def _failure_status(self, status_if_sent: AttemptStatus) -> AttemptStatus:
        """Return the status of a failed attempt: a request that was not sent to its last byte never ran."""
        return status_if_sent if self.stage is AttemptStage.SENT else AttemptStatus.DIAL_FAILED

    def _end(self, status: AttemptStatus, reason: str, load_report: dict[str, float] | None = None) -> AttemptEnd:
        row = self._to_load_report_row(load_report) if load_report else ()
        return AttemptEnd(status, self.stage, reason, row)
