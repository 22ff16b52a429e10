"""The few socket calls that all connections share."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

SCRAP_MOST = 1024 * 1024  # bytes read and thrown away at a connection's end
_SCRAP = bytearray(65536)  # shared by all: nobody looks at what is in it
ACCEPT_RETRY_INTERVAL_S = 0.02  # after a failed accept, such as one for want of descriptors
_RESET = struct.pack("ii", 1, 0)


def create_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def create_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """A listening socket of our own. Raises OSError."""
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


async def wait_readable(sock: socket.socket) -> None:
    """Wait until there is something to read or to accept; nothing is taken from the socket.

    The loop's own sock_accept would lose what it had accepted if it were cancelled in the same turn.
    """
    loop, woken = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(sock.fileno(), woken.set)
    try:
        await woken.wait()
    finally:
        loop.remove_reader(sock.fileno())


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all; whoever is cancelled or raises in here has not sent the last byte. Raises OSError.

    The loop's own sock_sendall may write it in one turn and tell of it in the next: a time-out between the two
    would take a line that may run for one that never ran.
    """
    loop, left = asyncio.get_running_loop(), memoryview(data)
    while True:
        with contextlib.suppress(BlockingIOError, InterruptedError):
            left = left[sock.send(left) :]
        if not left:
            return
        woken = asyncio.Event()
        loop.add_writer(sock.fileno(), woken.set)
        try:
            await woken.wait()
        finally:
            loop.remove_writer(sock.fileno())


async def accept(sock: socket.socket) -> socket.socket:
    """The next connection, ready for use; one that another process took first is waited for anew. Raises OSError."""
    while True:
        await wait_readable(sock)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            return accept_nowait(sock)


def accept_nowait(sock: socket.socket) -> socket.socket:
    """A connection that waits to be accepted, ready for use. Raises OSError, BlockingIOError where none does."""
    peer, _ = sock.accept()
    peer.setblocking(False)
    with contextlib.suppress(OSError):  # it has gone already, which its first read will tell
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return peer


def close(sock: socket.socket, *, reset: bool = False) -> None:
    """Close at once, with FIN or, if asked, with RST."""
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    with contextlib.suppress(OSError):
        sock.close()


async def close_gracefully(sock: socket.socket, line: bytes, wait_s: float, most_bytes: int = SCRAP_MOST) -> None:
    """Send a last line, end our side, and close when the peer has ended its own.

    A plain close with bytes unread would reset the connection and could take the line with it. But a peer
    that sends without end is worth only so many bytes and so much time.
    """
    loop, left = asyncio.get_running_loop(), most_bytes
    try:
        async with asyncio.timeout(wait_s):
            if line:
                await loop.sock_sendall(sock, line)
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (count := await loop.sock_recv_into(sock, _SCRAP)):
                left -= count
    except (OSError, TimeoutError):
        pass
    finally:
        close(sock)


def send_and_close(sock: socket.socket, line: bytes) -> None:
    """A last line and the end at once, for a connection that there is no room to wait for."""
    with contextlib.suppress(OSError):
        sock.send(line)
        for _ in range(SCRAP_MOST // len(_SCRAP)):  # unread, it would turn the end into a reset
            if not sock.recv_into(_SCRAP):
                break
    close(sock)
