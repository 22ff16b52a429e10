"""One attempt to establish a client's session on a backend. Its outcome is a value, never an exception."""

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
MAX_DISCARDED_BYTES = 1 << 30  # high enough that the timeout is reached first, whatever a backend still sends
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
    """The receiver of what the backend sends on an established session.

    Attributes:
        last_keyword: The keyword of the backend's last complete line.
    """

    last_keyword: Keyword

    def forward(self, data: bytes) -> Awaitable[None]:
        """Send the backend's bytes to the client, with backpressure."""
        ...


class Attempt:
    """One attempt: `open`, then `relay` if the session was established, then one of the methods that close."""

    __slots__ = (
        "_backend",
        "_clock",
        "_connect_timeout_us",
        "_drain_grace_us",
        "_error_reason",
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
            clock: Measures all deadlines.
            connect_timeout_us: The longest time that connecting may take; an earlier deadline shortens it.
            drain_grace_us: How long a draining backend still accepts requests.
            to_load_report_row: Converts a load report to a row in the order of the settings' columns.
            on_sent: Called once the last byte of the request has been sent.
        """
        self._backend = backend
        self._clock = clock
        self._connect_timeout_us = connect_timeout_us
        self._drain_grace_us = drain_grace_us
        self._to_load_report_row = to_load_report_row
        self._on_sent = on_sent
        self._sock: socket.socket | None = None
        self._splitter = LineSplitter()  # until UP
        self._error_reason = ""
        self.stage = AttemptStage.CONNECTING
        self.established_data = b""
        """The UP line and what was received with it, byte for byte."""
        self.has_ended = False
        """All that the backend sent on the established session has been read, including the end of the stream."""
        self.was_reset = False
        """The backend ended the established session with a TCP reset."""

    @property
    def descriptor(self) -> int | None:
        """The file descriptor of the connection; None before the socket is created."""
        return self._sock.fileno() if self._sock is not None else None

    async def open(
        self, encode_request: Callable[[int], bytes], deadline_us: int, send_before_us: int = 0
    ) -> AttemptEnd | None:
        """Connect, send the request and wait for UP.

        Args:
            encode_request: Encodes the request's line, given the remaining time in milliseconds.
            deadline_us: When the attempt times out.
            send_before_us: The request is not sent at that time or later; 0 for no such limit.

        Returns:
            How the attempt ended; None if the session is established.
        """
        try:
            self._sock = tcp.create_socket()
        except OSError as error:  # such as no free descriptor: that says nothing about the backend
            return self._make_end(AttemptStatus.UNUSED, str(error))
        try:
            timeout_us = min(self._connect_timeout_us, deadline_us - self._clock.now_us())
            async with asyncio.timeout(timeout_us / 1e6) as timeout:
                await tcp.connect(self._sock, self._backend.address)
                now_us = self._clock.now_us()
                rejection_reason = self._find_rejection_reason(now_us, deadline_us, send_before_us)
                if rejection_reason:
                    return self._make_end(AttemptStatus.DIAL_FAILED, rejection_reason)
                timeout.reschedule(asyncio.get_running_loop().time() + (deadline_us - now_us) / 1e6)
                await self._send_request(self._sock, encode_request((deadline_us - now_us) // 1000))
                return await self._receive_first_reply(self._sock)
        except TimeoutError:
            if self._has_unread_up():
                return None
            return self._make_end(self._failure_status(AttemptStatus.EXPIRED), "timed out")
        except OSError as error:
            return self._make_end(self._failure_status(AttemptStatus.DROPPED), str(error))

    async def relay(self, listener: RelayListener) -> AttemptEnd:
        """Forward what the backend sends on the established session until it ends the connection."""
        assert self._sock is not None, "relay requires a successful open"
        try:
            # No buffer is allocated while nothing arrives: most sessions are idle most of the time.
            while data := await tcp.receive(self._sock, READ_SIZE_BYTES):
                await listener.forward(data)
        except OSError as error:
            self.record_connection_error(error)
        self.has_ended = True
        status = STATUS_BY_LAST_LINE.get(listener.last_keyword)
        if status is not None:
            self.was_reset = False  # it announced the end: a reset after that is not a sign of a fault
            return self._make_end(status, "closed by the backend")
        return self._make_end(AttemptStatus.DROPPED, self._error_reason or "closed by the backend")

    def record_connection_error(self, error: OSError) -> None:
        """Record that a call on the established session failed; which of its tasks gets the error is arbitrary.

        Only EPIPE is not counted as a reset: the backend closed in an orderly way, before what was sent to it arrived.
        """
        if not isinstance(error, BrokenPipeError):
            self.was_reset = True
        self._error_reason = self._error_reason or str(error)

    def send(self, data: bytes) -> Awaitable[None]:
        """Send the client's bytes to the backend, with backpressure. Raises OSError when awaited."""
        assert self._sock is not None, "send requires an established session"
        return tcp.send_all(self._sock, data)

    def close(self, *, reset: bool = False) -> None:
        """Close immediately, with FIN or, if `reset` is set, with RST."""
        if self._sock is not None:
            tcp.close(self._sock, reset=reset)

    def half_close(self) -> None:
        """Shut down sending: what was sent is still delivered, even while bytes of the backend are unread."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                tcp.shut_down_sending(self._sock)

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close once the backend has shut down sending, or after the timeout."""
        if self._sock is not None:
            await tcp.close_gracefully(self._sock, b"", timeout_s, MAX_DISCARDED_BYTES)

    def _find_rejection_reason(self, now_us: int, deadline_us: int, send_before_us: int) -> str:
        """Return why the request must not be sent any more, as connecting took time; "" if it may be sent."""
        if send_before_us and now_us >= send_before_us:
            return "too late for a retry"
        if not self._backend.accepts_new_sessions(now_us, self._drain_grace_us):
            return "the backend's drain grace has ended"
        if now_us >= deadline_us:
            return "the deadline has passed"
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
                return self._make_end(AttemptStatus.DROPPED, "closed without a reply")
            lines = self._receive_before_up(data)
            if not lines and self._splitter.is_overlong:
                return self._make_end(AttemptStatus.APP_ERROR, "line too long")
        if self._accept_up(lines):
            return None
        reply = parse_reply(lines[0])
        status = STATUS_BY_FIRST_REPLY.get(reply.keyword, AttemptStatus.APP_ERROR)
        return self._make_end(status, lines[0][:MAX_REASON_BYTES].decode("ascii", "replace"), reply.load_report)

    def _receive_before_up(self, data: bytes) -> list[bytes]:
        self.established_data += data
        return self._splitter.receive_data(data)

    def _accept_up(self, lines: list[bytes]) -> bool:
        """Return whether the first reply is UP, which establishes the session."""
        if parse_reply(lines[0]).keyword is not Keyword.UP:
            return False
        self.stage = AttemptStage.ESTABLISHED
        return True

    def _has_unread_up(self) -> bool:
        """Return whether UP was received after all when the wait for it timed out.

        Both may happen in one iteration of the event loop; closing the connection would break an established session.
        """
        if self._sock is None or self.stage is not AttemptStage.SENT:
            return False
        try:
            data = tcp.receive_nowait(self._sock, READ_SIZE_BYTES)
        except OSError:  # nothing was received
            return False
        lines = self._receive_before_up(data)
        return bool(lines) and self._accept_up(lines)

    def _failure_status(self, status_if_sent: AttemptStatus) -> AttemptStatus:
        """Return the status of a failed attempt: a request whose last byte was not sent never ran."""
        return status_if_sent if self.stage is AttemptStage.SENT else AttemptStatus.DIAL_FAILED

    def _make_end(self, status: AttemptStatus, reason: str, load_report: dict[str, float] | None = None) -> AttemptEnd:
        row = self._to_load_report_row(load_report) if load_report else ()
        return AttemptEnd(status, self.stage, reason, row)
