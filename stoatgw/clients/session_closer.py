"""Closing client connections: rejected ones, and those of sessions together with their server connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable

from stoatgw.backends.attempt import Attempt
from stoatgw.clients.context import ProxyContext
from stoatgw.clients.session_state import ORDERLY_REASONS, EndReason, SessionEnd, SessionState
from stoatgw.controller.messages import AttemptStage
from stoatgw.sockets import tcp

LINGER_S = 1.0  # how long a peer may take to close its side after the proxy has shut down sending
ANSWERED_LINGER_S = 0.25  # the same after BUSY or ERR, when no client data is expected
REJECTED_LINGER_S = 0.25  # the same for a connection that is rejected before its request is accepted


async def reject_connection(context: ProxyContext, sock: socket.socket, last_line: bytes) -> None:
    """Send a last line to a connection without an accepted request, and close it.

    A request may be in flight at that time: it is read and discarded, so that it does not turn the close into a reset.
    """
    if not context.descriptor_limiter.acquire_linger():
        tcp.send_and_close(sock, last_line)
        return
    try:
        await tcp.close_gracefully(sock, last_line, REJECTED_LINGER_S)
    finally:
        context.descriptor_limiter.release_linger()


class SessionCloser:
    """Ends one session: the first end wins, and it determines how both connections are closed.

    Attributes:
        state: The state of the session; only `finish` ends it.
    """

    __slots__ = ("_ended", "_established_attempt", "_sock", "state")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.state = SessionState()
        self._ended: asyncio.Future[SessionEnd] = asyncio.get_running_loop().create_future()
        self._established_attempt: Attempt | None = None  # over, but its connection is still open

    def finish(self, end: SessionEnd) -> None:
        """End the session, unless it has already ended."""
        if self.state.finish(end):
            self._ended.set_result(end)

    def wait(self) -> Awaitable[SessionEnd]:
        """Wait for the session's end; cancelling the wait does not end the session."""
        return asyncio.shield(self._ended)

    def close_attempt(self, attempt: Attempt) -> None:
        """Close the connection of an attempt that is over, or leave that to `close_both` if it was established.

        The session's other task may be sending on the connection of an established attempt: a socket is closed only
        when no task waits on it.
        """
        if attempt.stage is AttemptStage.ESTABLISHED:
            self._established_attempt = attempt
        else:
            end = self.state.end
            attempt.close(reset=end is not None and end.was_reset)

    async def send_last_line(self, last_line: bytes) -> None:
        """Send a last line and shut down sending; the client is still read. Raises OSError."""
        await tcp.send_all(self._sock, last_line)
        tcp.shut_down_sending(self._sock)

    async def close_both(self, end: SessionEnd) -> None:
        """Close the client's and the server's connection; called once no task of the session uses them."""
        closing: list[Awaitable[None]] = []
        if end.was_reset or end.reason is EndReason.CLIENT_DISCONNECTED:  # the client cannot read a last line
            tcp.close(self._sock, reset=end.was_reset)
        else:
            # Any other last line was sent before, or not at all, as the client may have been sent a partial line.
            last_line = end.last_line if end.is_answer else b""
            linger_s = ANSWERED_LINGER_S if end.is_answer else LINGER_S
            closing.append(tcp.close_gracefully(self._sock, last_line, linger_s))
        attempt = self._established_attempt
        if attempt is not None and end.reason in ORDERLY_REASONS and not (end.was_reset or attempt.has_ended):
            # Closing with unread bytes would reset the connection, which could lose the client's last lines.
            # After a client's disconnection the server has already had `LINGER_S`.
            has_lingered = end.reason is EndReason.CLIENT_DISCONNECTED
            closing.append(attempt.close_gracefully(ANSWERED_LINGER_S if has_lingered else LINGER_S))
        elif attempt is not None:
            attempt.close(reset=end.was_reset)
        if len(closing) == 1:
            await closing[0]
        else:
            await asyncio.gather(*closing)

    def abort_attempt(self) -> None:
        """Close an established attempt's connection immediately; do nothing if it is already closed."""
        if self._established_attempt is not None:
            self._established_attempt.close()
