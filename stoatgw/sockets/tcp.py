"""TCP sockets for asyncio: how all connections are created, accepted, read, written and closed."""

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
    TransientRetries,
    call_with_immediate_retries,
)

ACCEPT_RETRY_INTERVAL_S = 0.02  # after a failed accept, such as one without a free descriptor
MAX_DISCARDED_BYTES = 1024 * 1024  # read and discarded while a connection is closed
_DISCARD_BUFFER = bytearray(65536)  # shared by all connections, as its content is never used
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close sends RST

Argument = TypeVar("Argument")
Result = TypeVar("Result")


def create_socket() -> socket.socket:
    """Create a non-blocking socket for connecting. Raises OSError."""
    sock = _create_tcp_socket()
    sock.setblocking(False)
    call_with_immediate_retries(sock.setsockopt, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _create_tcp_socket() -> socket.socket:
    return call_with_immediate_retries(
        socket.socket, socket.AF_INET, socket.SOCK_STREAM, errnos=SOCKET_TRANSIENT_ERRNOS
    )


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
        call_with_immediate_retries(sock.setsockopt, socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


async def connect(sock: socket.socket, address: tuple[str | bytes, int]) -> None:
    """Connect, and retry after transient errors, which say nothing about the peer. Raises OSError."""
    retries: TransientRetries | None = None
    while True:
        try:
            await _connect_once(sock, address)
        except OSError as error:
            retries = retries or TransientRetries(CONNECT_TRANSIENT_ERRNOS)
            await retries.wait(error)
        else:
            return


async def _connect_once(sock: socket.socket, address: tuple[str | bytes, int]) -> None:
    """Connect without retries, and check that the socket is connected. Raises OSError.

    The event loop takes a connect that failed with EINTR or EAGAIN for one in progress, and then reports the socket as
    connected although it is not.
    """
    await asyncio.get_running_loop().sock_connect(sock, address)
    try:
        sock.getpeername()
    except OSError:
        # SO_ERROR is set if the peer has reset the connection since.
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.EAGAIN
        raise OSError(error_number, os.strerror(error_number)) from None


def receive(sock: socket.socket, max_bytes: int) -> Awaitable[bytes]:
    """Wait for bytes and return them; b"" at the end of the stream. Raises OSError when awaited.

    asyncio's `loop.sock_recv` reads in one iteration of the event loop and returns in the next: if cancelled between
    the two, it loses what it has read. A task that is cancelled in this function has read nothing.
    """
    return _call_when_readable(sock, sock.recv, max_bytes)


def receive_into(sock: socket.socket, buffer: bytearray) -> Awaitable[int]:
    """Wait for bytes as `receive` does, write them to the buffer and return their count."""
    return _call_when_readable(sock, sock.recv_into, buffer)


async def _call_when_readable(sock: socket.socket, read: Callable[[Argument], Result], argument: Argument) -> Result:
    retries: TransientRetries | None = None
    while True:
        try:
            with watches.ReadableWatch(sock) as notified:  # inline, as most sessions wait here: saves a coroutine each
                await notified
            return read(argument)
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            retries = retries or TransientRetries()
            await retries.wait(error)


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all data; if this is cancelled or raises, the last byte has not been sent. Raises OSError.

    asyncio's `loop.sock_sendall` may write in one iteration of the event loop and return in the next: after a timeout
    between the two, a request that may run would look like one that never ran.
    """
    unsent: bytes | memoryview = data
    retries: TransientRetries | None = None
    while True:
        try:
            count = _send_nowait(sock, unsent)
            if count == len(unsent):
                return
            unsent = memoryview(unsent)[count:]
            await watches.wait_writable(sock)
        except OSError as error:
            retries = retries or TransientRetries()
            await retries.wait(error)


def _send_nowait(sock: socket.socket, data: bytes | memoryview) -> int:
    """Send what can be sent without waiting; return the count of bytes. Raises OSError."""
    try:
        return sock.send(data)
    except (BlockingIOError, InterruptedError):
        return 0


async def accept(listener: socket.socket) -> socket.socket:
    """Accept the next connection; if another process accepts it first, wait again. Raises OSError."""
    while True:
        await watches.wait_readable(listener)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            return accept_nowait(listener)


def accept_nowait(listener: socket.socket) -> socket.socket:
    """Accept a pending connection. Raises OSError, or BlockingIOError if there is none."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # the peer has already disconnected, as the first read will show
        call_with_immediate_retries(sock.setsockopt, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def shut_down_sending(sock: socket.socket) -> None:
    """Shut down sending; the peer may still send. Raises OSError if the connection is broken."""
    call_with_immediate_retries(sock.shutdown, socket.SHUT_WR)


def receive_nowait(sock: socket.socket, max_bytes: int) -> bytes:
    """Return what can be read now; b"" at the end of the stream. Raises OSError, or BlockingIOError for nothing."""
    return call_with_immediate_retries(sock.recv, max_bytes)


def shut_down(sock: socket.socket) -> None:
    """Shut down both directions, which wakes all tasks that wait on the socket. Never raises."""
    with contextlib.suppress(OSError):
        call_with_immediate_retries(sock.shutdown, socket.SHUT_RDWR)


def close(sock: socket.socket, *, reset: bool = False) -> None:
    """Close immediately, with FIN or, if `reset` is set, with RST. Never raises."""
    with contextlib.suppress(OSError):
        if reset:
            call_with_immediate_retries(sock.setsockopt, socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    with contextlib.suppress(OSError):
        sock.close()


async def close_gracefully(
    sock: socket.socket, last_line: bytes, timeout_s: float, max_discarded_bytes: int = MAX_DISCARDED_BYTES
) -> None:
    """Send a last line, shut down sending, and close when the peer has done the same. Never raises OSError.

    A plain close with unread bytes would reset the connection, and the peer could lose the last line. Against a peer
    that never stops sending, `timeout_s` limits the wait and `max_discarded_bytes` what is read meanwhile.
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
    """Send a last line and close immediately, when no descriptor is free for a graceful close. Never raises."""
    with contextlib.suppress(OSError):
        call_with_immediate_retries(sock.send, last_line)
        for _ in range(MAX_DISCARDED_BYTES // len(_DISCARD_BUFFER)):  # unread bytes would turn the close into a reset
            if not call_with_immediate_retries(sock.recv_into, _DISCARD_BUFFER):
                break
    close(sock)
