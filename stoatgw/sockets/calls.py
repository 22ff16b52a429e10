"""The few socket calls that all connections share."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

LINGER_S = 1.0
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


async def close_after(sock: socket.socket, line: bytes, wait_s: float = LINGER_S) -> None:
    """Send a last line, end our side, and close when the peer has ended its own.

    A plain close with bytes unread would reset the connection and could take the line with it.
    """
    loop = asyncio.get_running_loop()
    scrap = bytearray(4096)
    try:
        async with asyncio.timeout(wait_s):
            if line:
                await loop.sock_sendall(sock, line)
            sock.shutdown(socket.SHUT_WR)
            while await loop.sock_recv_into(sock, scrap):
                pass
    except (OSError, TimeoutError):
        pass
    finally:
        close(sock)
