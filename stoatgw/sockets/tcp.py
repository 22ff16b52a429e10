"""TCP sockets for asyncio: created, accepted, written and closed the way all connections here need it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
from collections.abc import Iterator

ACCEPT_RETRY_INTERVAL_S = 0.02  # after a failed accept, such as one for want of descriptors
# For want of the kernel's memory a call fails on a connection that is sound: it is repeated for a second.
TRANSIENT_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_RETRY_INTERVAL_S = 0.02
MAX_TRANSIENT_RETRIES = 50
MAX_DISCARDED_BYTES = 1024 * 1024  # read and thrown away at a connection's end
_DISCARD_BUFFER = bytearray(65536)  # shared by all: nobody looks at what is in it
_LINGER_RESET = struct.pack("ii", 1, 0)


def create_socket() -> socket.socket:
    """Create a non-blocking socket for connecting. Raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


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
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def _set_ready(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)


async def wait_readable(sock: socket.socket) -> None:
    """Wait until there is something to read or to accept; nothing is consumed.

    The loop's own sock_accept would lose what it had accepted if it were cancelled in the same iteration. The loop is
    given the socket, not its descriptor: uvloop then keeps it open until the wait has ended, as closing a descriptor
    that the loop polls ends the process.
    """
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(sock, _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


async def _wait_writable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_writer(sock, _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_writer(sock)


class _TransientErrors:
    """How often a call on a sound connection may fail for want of the kernel's memory before its error counts."""

    def __init__(self) -> None:
        self._retries_left = MAX_TRANSIENT_RETRIES

    async def wait(self, error: OSError) -> None:
        """Wait before the call is repeated. Raises the error if it is of another kind, or came too often."""
        if error.errno not in TRANSIENT_ERRNOS or not self._retries_left:
            raise error
        self._retries_left -= 1
        await asyncio.sleep(TRANSIENT_RETRY_INTERVAL_S)


class SocketReader:
    """Reads a connection, one task at a time, and watches it between two reads.

    The loop's own sock_recv reads in one iteration and returns in the next: cancelled between the two, it loses what
    it has read. A task that is cancelled in here has read nothing. And sock_recv asks the kernel anew to watch the
    socket for each read: this asks once, and again only after the task was too busy to read.
    """

    __slots__ = ("_is_watching", "_ready", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        """Prepare to read; whoever reads calls `stop` before the socket is read by others or closed."""
        self._sock = sock
        self._is_watching = False
        self._ready: asyncio.Future[None] | None = None  # while a task waits

    async def receive(self, max_bytes: int) -> bytes:
        """Wait for bytes and return them; b"" at the end of the stream. Raises OSError."""
        loop = asyncio.get_running_loop()
        failures: _TransientErrors | None = None
        while True:
            self._ready = loop.create_future()
            if not self._is_watching:
                loop.add_reader(self._sock, self._on_readable)
                self._is_watching = True
            try:
                await self._ready
            finally:
                self._ready = None
            try:
                return self._sock.recv(max_bytes)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                failures = failures or _TransientErrors()
                await failures.wait(error)

    def _on_readable(self) -> None:
        if self._ready is None:
            self.stop()  # nobody reads now: without this the loop would spin
        elif not self._ready.done():
            self._ready.set_result(None)

    def stop(self) -> None:
        """Watch the socket no more, until the next read."""
        if self._is_watching:
            self._is_watching = False
            asyncio.get_running_loop().remove_reader(self._sock)


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all; a caller that is cancelled or gets an exception in here has not sent the last byte. Raises OSError.

    The loop's own sock_sendall may write in one iteration and return in the next: a timeout between the two
    would make a line that may run look like one that never ran.
    """
    unsent: bytes | memoryview = data
    failures: _TransientErrors | None = None
    while True:
        try:
            count = sock.send(unsent)
        except (BlockingIOError, InterruptedError):
            count = 0
        except OSError as error:
            failures = failures or _TransientErrors()
            await failures.wait(error)
            continue
        if count == len(unsent):
            return
        unsent = memoryview(unsent)[count:]
        await _wait_writable(sock)


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
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def close(sock: socket.socket, *, reset: bool = False) -> None:
    """Close at once, with FIN or, if asked, with RST. Never raises."""
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    with contextlib.suppress(OSError):
        sock.close()


async def close_gracefully(
    sock: socket.socket, last_line: bytes, timeout_s: float, max_discarded_bytes: int = MAX_DISCARDED_BYTES
) -> None:
    """Send a last line, shut down sending, and close when the peer has done the same. Never raises OSError.

    A plain close over unread bytes would reset the connection, which could take the line with it. But a peer
    that sends without end gets only so many bytes and so much time.
    """
    loop = asyncio.get_running_loop()
    remaining_bytes = max_discarded_bytes
    try:
        async with asyncio.timeout(timeout_s):
            if last_line:
                await loop.sock_sendall(sock, last_line)
            sock.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and (count := await loop.sock_recv_into(sock, _DISCARD_BUFFER)):
                remaining_bytes -= count
    except (OSError, TimeoutError):
        pass
    finally:
        close(sock)


def send_and_close(sock: socket.socket, last_line: bytes) -> None:
    """Send a last line and close at once, where no descriptor can be spared for a graceful close. Never raises."""
    with contextlib.suppress(OSError):
        sock.send(last_line)
        for _ in range(MAX_DISCARDED_BYTES // len(_DISCARD_BUFFER)):  # unread bytes would turn the close into a reset
            if not sock.recv_into(_DISCARD_BUFFER):
                break
    close(sock)
