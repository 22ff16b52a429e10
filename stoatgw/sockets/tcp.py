"""TCP sockets for asyncio: created, accepted, written and closed the way all connections here need it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import select
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Collection, Iterator
from typing import Any, TypeVar

ACCEPT_RETRY_INTERVAL_S = 0.02  # after a failed accept, such as one for want of descriptors
# For want of the kernel's memory a call fails on a connection that is sound: it is repeated for a second.
TRANSIENT_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_RETRY_INTERVAL_S = 0.02
MAX_TRANSIENT_RETRIES = 50
MOMENTARY_ERRNOS = (errno.EINTR, errno.EAGAIN, *TRANSIENT_ERRNOS)
# Want of a local port, or a route that changes just then, says as little about the peer.
CONNECT_TRANSIENT_ERRNOS = (errno.EAGAIN, errno.EADDRNOTAVAIL, errno.ENETUNREACH, *TRANSIENT_ERRNOS)
SOCKET_TRANSIENT_ERRNOS = (errno.ENFILE, *MOMENTARY_ERRNOS)
MAX_IMMEDIATE_RETRIES = 3  # of a call that cannot be waited for
MAX_DISCARDED_BYTES = 1024 * 1024  # read and thrown away at a connection's end
_DISCARD_BUFFER = bytearray(65536)  # shared by all: nobody looks at what is in it
_LINGER_RESET = struct.pack("ii", 1, 0)

Argument = TypeVar("Argument")
Result = TypeVar("Result")


def create_socket() -> socket.socket:
    """Create a non-blocking socket for connecting. Raises OSError."""
    sock = _create_tcp_socket()
    sock.setblocking(False)
    _call_at_once(sock.setsockopt, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _create_tcp_socket() -> socket.socket:
    return _call_at_once(socket.socket, socket.AF_INET, socket.SOCK_STREAM, errnos=SOCKET_TRANSIENT_ERRNOS)


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
        _call_at_once(sock.setsockopt, socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


class _Watch(ABC):
    """Has the loop watch a socket until its next event, within `with`; no watch outlives an event.

    When a connection breaks, uvloop tells its watches once and drops them, without a word: what came with the break,
    or a call that fails for a moment just then, would be the last that a lasting watch is told of. Its entry for the
    socket is of no use until a watch is removed, which therefore happens in the very step that tells of the event.

    The loop is given the socket, not its descriptor: uvloop then keeps it open until the watch is removed, as closing
    a descriptor that the loop polls ends the process.
    """

    __slots__ = ("_is_watching", "_ready", "_sock")

    def __init__(self, sock: socket.socket, ready: asyncio.Future[None] | None = None) -> None:
        self._sock = sock
        self._ready = ready or asyncio.get_running_loop().create_future()
        self._is_watching = False

    def __enter__(self) -> asyncio.Future[None]:
        self._add(asyncio.get_running_loop())
        self._is_watching = True
        return self._ready

    def __exit__(self, *_: object) -> None:
        if self._is_watching:
            self._is_watching = False
            self._remove(asyncio.get_running_loop())

    def _on_event(self) -> None:
        self.__exit__()
        if not self._ready.done():
            self._ready.set_result(None)

    @abstractmethod
    def _add(self, loop: asyncio.AbstractEventLoop) -> None: ...

    @abstractmethod
    def _remove(self, loop: asyncio.AbstractEventLoop) -> None: ...


class _ReadableWatch(_Watch):
    __slots__ = ()

    def _add(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.add_reader(self._sock, self._on_event)

    def _remove(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_reader(self._sock)


class _WritableWatch(_Watch):
    __slots__ = ()

    def _add(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.add_writer(self._sock, self._on_event)

    def _remove(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._sock)


async def wait_readable(sock: socket.socket, ready: asyncio.Future[None] | None = None) -> None:
    """Wait until there is something to read or to accept; nothing is consumed. Raises OSError if it cannot be watched.

    The loop's own sock_accept would lose what it had accepted if it were cancelled in the same iteration.

    Args:
        sock: The socket.
        ready: What is waited for, for a caller that ends the wait by setting it.
    """
    with _ReadableWatch(sock, ready) as told:
        await told


async def _wait_writable(sock: socket.socket) -> None:
    with _WritableWatch(sock) as told:
        await told


class _TransientErrors:
    """How often a call on a sound connection may fail for a moment before its error counts."""

    def __init__(self, errnos: Collection[int] = TRANSIENT_ERRNOS) -> None:
        self._errnos = errnos
        self._retries_left = MAX_TRANSIENT_RETRIES

    async def wait(self, error: OSError) -> None:
        """Wait before the call is repeated. Raises the error if it is of another kind, or came too often."""
        if error.errno not in self._errnos or not self._retries_left:
            raise error
        self._retries_left -= 1
        await asyncio.sleep(TRANSIENT_RETRY_INTERVAL_S)


async def connect(sock: socket.socket, address: tuple[str | bytes, int]) -> None:
    """Connect, and again where the call failed for a moment: that says nothing about the peer. Raises OSError."""
    failures: _TransientErrors | None = None
    while True:
        try:
            await _connect_once(sock, address)
        except OSError as error:
            failures = failures or _TransientErrors(CONNECT_TRANSIENT_ERRNOS)
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
    failures: _TransientErrors | None = None
    while True:
        try:
            with _ReadableWatch(sock) as told:  # not in a coroutine of its own: most sessions rest here
                await told
            return read(argument)
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            failures = failures or _TransientErrors()
            await failures.wait(error)


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all; a caller that is cancelled or gets an exception in here has not sent the last byte. Raises OSError.

    The loop's own sock_sendall may write in one iteration and return in the next: a timeout between the two
    would make a line that may run look like one that never ran.
    """
    unsent: bytes | memoryview = data
    failures: _TransientErrors | None = None
    while True:
        try:
            count = _send_nowait(sock, unsent)
            if count == len(unsent):
                return
            unsent = memoryview(unsent)[count:]
            await _wait_writable(sock)
        except OSError as error:
            failures = failures or _TransientErrors()
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
        await wait_readable(listener)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            return accept_nowait(listener)


def accept_nowait(listener: socket.socket) -> socket.socket:
    """Accept a connection that is waiting. Raises OSError, BlockingIOError where there is none."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # the peer has gone already, as the first read will show
        _call_at_once(sock.setsockopt, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def shut_down_sending(sock: socket.socket) -> None:
    """Tell the peer that nothing more comes; it may still send. Raises OSError, for a connection that is broken."""
    _call_at_once(sock.shutdown, socket.SHUT_WR)


def is_broken(sock: socket.socket) -> bool:
    """Whether a connection was reset, or broke: known without reading what came before."""
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & (select.POLLERR | select.POLLHUP) for _, events in poll.poll(0))


def is_writable(descriptor: int) -> bool:
    """Whether a connection would take bytes now, or is broken, so that a write is not waited for."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def has_backlog(listener: socket.socket) -> bool:
    """Whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


def receive_nowait(sock: socket.socket, max_bytes: int) -> bytes:
    """Return what is there to be read; b"" at the end of the stream. Raises OSError, BlockingIOError for nothing."""
    return _call_at_once(sock.recv, max_bytes)


def shut_down(sock: socket.socket) -> None:
    """End both directions, which wakes whoever waits on the socket. Never raises."""
    with contextlib.suppress(OSError):
        _call_at_once(sock.shutdown, socket.SHUT_RDWR)


def _call_at_once(call: Callable[..., Result], *arguments: Any, errnos: Collection[int] = MOMENTARY_ERRNOS) -> Result:
    """Repeat, at once, a call that fails for a moment and that nobody can wait for. Raises OSError."""
    for _ in range(MAX_IMMEDIATE_RETRIES):
        try:
            return call(*arguments)
        except OSError as error:
            if error.errno not in errnos:
                raise
    return call(*arguments)


def close(sock: socket.socket, *, reset: bool = False) -> None:
    """Close at once, with FIN or, if asked, with RST. Never raises."""
    with contextlib.suppress(OSError):
        if reset:
            _call_at_once(sock.setsockopt, socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
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
        _call_at_once(sock.send, last_line)
        for _ in range(MAX_DISCARDED_BYTES // len(_DISCARD_BUFFER)):  # unread bytes would turn the close into a reset
            if not _call_at_once(sock.recv_into, _DISCARD_BUFFER):
                break
    close(sock)
