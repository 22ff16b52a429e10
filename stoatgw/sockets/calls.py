"""The few socket calls that all connections share."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

SCRAP_MOST = 1024 * 1024  # bytes read and thrown away at a connection's end
_SCRAP = bytearray(65536)  # shared by all: nobody looks at what is in it
_RESET = struct.pack("ii", 1, 0)


def make() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def close(sock: socket.socket, *, reset: bool = False) -> None:
    """Close at once, with FIN or, if asked, with RST."""
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    with contextlib.suppress(OSError):
        sock.close()


async def close_after(sock: socket.socket, line: bytes, wait_s: float) -> None:
    """Send a last line, end our side, and close when the peer has ended its own.

    A plain close with bytes unread would reset the connection and could take the line with it. But a peer
    that sends without end is worth only so many bytes and so much time.
    """
    loop, left = asyncio.get_running_loop(), SCRAP_MOST
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


def turn_away(sock: socket.socket, line: bytes) -> None:
    """A last line and the end at once, for a connection that there is no room to wait for."""
    with contextlib.suppress(OSError):
        sock.send(line)
        sock.recv_into(_SCRAP)  # unread, it would turn the end into a reset
    close(sock)
