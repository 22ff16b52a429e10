"""Closes client connections: rejected ones, and those of sessions together with their servers'."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable

from stoatgw.backends.attempt import Attempt
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.session_state import ORDERLY_REASONS, EndReason, SessionEnd, SessionState
from stoatgw.controller.messages import AttemptStage
from stoatgw.sockets import tcp

LINGER_S = 1.0  # how long a peer may take to close its side after the proxy has closed its own
ANSWERED_LINGER_S = 0.25  # the same after BUSY or ERR, which nothing on its way can follow
REJECTED_LINGER_S = 0.25  # the same for a connection that is rejected before its request is accepted


async def reject_connection(context: ProxyContext, sock: socket.socket, last_line: bytes) -> None:
    """Sends a last line to a connection without an accepted request, and closes it.

    A request may cross the line on its way: read and discarded, it does not turn the close into a reset.
    """
    if not context.descriptor_limiter.acquire_linger():
        tcp.send_and_close(sock, last_line)
        return
    try:
        await tcp.close_gracefully(sock, last_line, REJECTED_LINGER_S)
    finally:
        context.descriptor_limiter.release_linger()


class SessionCloser:
    """Ends one session: the first end wins, and both its connections are closed as that end demands.

    Attributes:
        state: What has happened to the session so far; only `finish` ends it.
    """

    __slots__ = ("_ended", "_established_attempt", "_sock", "state")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.state = SessionState()
        self._ended: asyncio.Future[SessionEnd] = asyncio.get_running_loop().create_future()
        self._established_attempt: Attempt | None = None  # that is over, its connection still open

    def finish(self, end: SessionEnd) -> None:
        """Ends the session, unless it has ended before."""
        if self.state.finish(end):
            self._ended.set_result(end)

    def wait(self) -> Awaitable[SessionEnd]:
        """Waits for the session's end; a cancelled wait does not end it."""
        return asyncio.shield(self._ended)

    def close_attempt(self, attempt: Attempt) -> None:
        """Closes the connection of an attempt that is over, or leaves that to `close_both` if it was established.

        The session's other task may be sending on the connection of an established one: a socket is closed only once
        no task waits on it.
        """
        if attempt.stage is AttemptStage.ESTABLISHED:
            self._established_attempt = attempt
        else:
            end = self.state.end
            attempt.close(reset=end is not None and end.was_reset)

    async def send_last_line(self, last_line: bytes) -> None:
        """Sends a last line and shuts down sending; the client is still read. Raises OSError."""
        await tcp.send_all(self._sock, last_line)
        tcp.shut_down_sending(self._sock)

    async def close_both(self, end: SessionEnd) -> None:
        """Closes the client's connection, and that of its server, once no task of the session uses them."""
        closing: list[Awaitable[None]] = []
        if end.was_reset or end.reason is EndReason.CLIENT_DISCONNECTED:  # nobody is there to read a last line
            tcp.close(self._sock, reset=end.was_reset)
        else:
            # Any other last line is sent before, or not at all: the client may have been left within a line.
            last_line = end.last_line if end.is_answer else b""
            linger_s = ANSWERED_LINGER_S if end.is_answer else LINGER_S
            closing.append(tcp.close_gracefully(self._sock, last_line, linger_s))
        attempt = self._established_attempt
        if attempt is not None and end.reason in ORDERLY_REASONS and not (end.was_reset or attempt.has_ended):
            # Closed over unread bytes, it would be reset, and the client's last lines might be lost with that.
            # After a client's end the server has had `LINGER_S` already.
            is_late = end.reason is EndReason.CLIENT_DISCONNECTED
            closing.append(attempt.close_gracefully(ANSWERED_LINGER_S if is_late else LINGER_S))
        elif attempt is not None:
            attempt.close(reset=end.was_reset)
        if len(closing) == 1:
            await closing[0]
        else:
            await asyncio.gather(*closing)

    def abort_attempt(self) -> None:
        """Closes an established attempt's connection at once; does nothing if it is closed already."""
        if self._established_attempt is not None:
            self._established_attempt.close()
