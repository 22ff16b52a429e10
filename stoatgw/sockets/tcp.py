"""TCP sockets for asyncio: created, accepted, written and closed the way all connections here need it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

from stoatgw.sockets import watches
from stoatgw.sockets.transient import (
    CONNECT_TRANSIENT_ERRNOS,
    SOCKET_TRANSIENT_ERRNOS,
    TransientErrors,
    call_at_once,
)

ACCEPT_RETRY_INTERVAL_S = 0.02  # after a failed accept, such as one for want of descriptors
MAX_DISCARDED_BYTES = 1024 * 1024  # read and thrown away at a connection's end
_DISCARD_BUFFER = bytearray(65536)  # shared by all: nobody looks at what is in it
_LINGER_RESET = struct.pack("ii", 1, 0)

Argument = TypeVar("Argument")
Result = TypeVar("Result")


def create_socket() -> socket.socket:
    """Create a non-blocking socket for connecting. Raises OSError."""
    sock = _create_tcp_socket()
    sock.setblocking(False)
    call_at_once(sock.setsockopt, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _create_tcp_socket() -> socket.socket:
    return call_at_once(socket.socket, socket.AF_INET, socket.SOCK_STREAM, errnos=SOCKET_TRANSIENT_ERRNOS)


@contextlib.contextmanager
def open_socket() -> Iterator[socket.socket]:
    """Create a socket for connecting, and close it at the end of the block. Raises OSError."""
    sock = create_socket()
    try:
        yield sock
    finally:
        close(sock)


def create_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """Create a listening socket. Raises OSError."""
    sock = _create_tcp_socket()
    try:
        call_at_once(sock.setsockopt, socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


async def connect(sock: socket.socket, address: tuple[str | bytes, int]) -> None:
    """Connect, and again where the call failed for a moment: that says nothing about the peer. Raises OSError."""
    failures: TransientErrors | None = None
    while True:
        try:
            await _connect_once(sock, address)
        except OSError as error:
            failures = failures or TransientErrors(CONNECT_TRANSIENT_ERRNOS)
            await failures.wait(error)
        else:
            return


async def _connect_once(sock: socket.socket, address: tuple[str | bytes, int]) -> None:
    """Connect. Raises OSError.

    The loop takes a call that failed with EINTR or EAGAIN to be in progress, and an unconnected socket to be connected.
    """
    await asyncio.get_running_loop().sock_connect(sock, address)
    try:
        sock.getpeername()
    except OSError:
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.EAGAIN  # or a reset has come since
        raise OSError(error_number, os.strerror(error_number)) from None


def receive(sock: socket.socket, max_bytes: int) -> Awaitable[bytes]:
    """Wait for bytes and return them; b"" at the end of the stream. Raises OSError when awaited.

    The loop's own sock_recv reads in one iteration and returns in the next: cancelled between the two, it loses what
    it has read. A task that is cancelled in here has read nothing.
    """
    return _call_when_readable(sock, sock.recv, max_bytes)


def receive_into(sock: socket.socket, buffer: bytearray) -> Awaitable[int]:
    """Wait for bytes, put them into the buffer and return their count, as `receive` does."""
    return _call_when_readable(sock, sock.recv_into, buffer)


async def _call_when_readable(sock: socket.socket, read: Callable[[Argument], Result], argument: Argument) -> Result:
    failures: TransientErrors | None = None
    while True:
        try:
            with watches.ReadableWatch(sock) as told:  # not in a coroutine of its own: most sessions rest here
                await told
            return read(argument)
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            failures = failures or TransientErrors()
            await failures.wait(error)


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all; a caller that is cancelled or gets an exception in here has not sent the last byte. Raises OSError.

    The loop's own sock_sendall may write in one iteration and return in the next: a timeout between the two
    would make a line that may run look like one that never ran.
    """
    unsent: bytes | memoryview = data
    failures: TransientErrors | None = None
    while True:
        try:
            count = _send_nowait(sock, unsent)
            if count == len(unsent):
                return
            unsent = memoryview(unsent)[count:]
            await watches.wait_writable(sock)
        except OSError as error:
            failures = failures or TransientErrors()
            await failures.wait(error)


def _send_nowait(sock: socket.socket, data: bytes | memoryview) -> int:
    """Send what can be sent now; return the count of bytes. Raises OSError."""
    try:
        return sock.send(data)
    except (BlockingIOError, InterruptedError):
        return 0


async def accept(listener: socket.socket) -> socket.socket:
    """Wait for the next connection, and again if another process accepted it first. Raises OSError."""
    while True:
        await watches.wait_readable(listener)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            return accept_nowait(listener)


def accept_nowait(listener: socket.socket) -> socket.socket:
    """Accept a connection that is waiting. Raises OSError, BlockingIOError where there is none."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # the peer has gone already, as the first read will show
        call_at_once(sock.setsockopt, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def shut_down_sending(sock: socket.socket) -> None:
    """Tell the peer that nothing more comes; it may still send. Raises OSError, for a connection that is broken."""
    call_at_once(sock.shutdown, socket.SHUT_WR)


def receive_nowait(sock: socket.socket, max_bytes: int) -> bytes:
    """Return what is there to be read; b"" at the end of the stream. Raises OSError, BlockingIOError for nothing."""
    return call_at_once(sock.recv, max_bytes)


def shut_down(sock: socket.socket) -> None:
    """End both directions, which wakes whoever waits on the socket. Never raises."""
    with contextlib.suppress(OSError):
        call_at_once(sock.shutdown, socket.SHUT_RDWR)


def close(sock: socket.socket, *, reset: bool = False) -> None:
    """Close at once, with FIN or, if asked, with RST. Never raises."""
    with contextlib.suppress(OSError):
        if reset:
            call_at_once(sock.setsockopt, socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    with contextlib.suppress(OSError):
        sock.close()


async def close_gracefully(
    sock: socket.socket, last_line: bytes, timeout_s: float, max_discarded_bytes: int = MAX_DISCARDED_BYTES
) -> None:
    """Send a last line, shut down sending, and close when the peer has done the same. Never raises OSError.

    A plain close over unread bytes would reset the connection, which could take the line with it. But a peer
    that sends without end gets only so many bytes and so much time.
    """
    remaining_bytes = max_discarded_bytes
    try:
        async with asyncio.timeout(timeout_s):
            if last_line:
                await send_all(sock, last_line)
            shut_down_sending(sock)
            while remaining_bytes > 0 and (count := await receive_into(sock, _DISCARD_BUFFER)):
                remaining_bytes -= count
    except (OSError, TimeoutError):
        pass
    finally:
        close(sock)


def send_and_close(sock: socket.socket, last_line: bytes) -> None:
    """Send a last line and close at once, where no descriptor can be spared for a graceful close. Never raises."""
    with contextlib.suppress(OSError):
        call_at_once(sock.send, last_line)
        for _ in range(MAX_DISCARDED_BYTES // len(_DISCARD_BUFFER)):  # unread bytes would turn the close into a reset
            if not call_at_once(sock.recv_into, _DISCARD_BUFFER):
                break
    close(sock)
