"""Sockets that carry lines of text on the running event loop, and listening sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from stoatgw.emulator.loopback.addresses import Address

MAX_LINE_BYTES = 4096
RECEIVE_BYTES = 65536
BACKLOG = 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close sends a reset


def listen(address: Address) -> socket.socket:
    """Return a non-blocking listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


class LineSocket:
    """Lines over a non-blocking socket.

    Writes never block: what the socket does not accept at once is sent in the background, in order.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._received = bytearray()
        self._unsent = bytearray()
        self._writer: asyncio.Task[None] | None = None
        self.is_closed = False

    async def read_line(self) -> bytes | None:
        """Return the next line without its line end, or None at the end of the stream.

        Raises:
            OSError: The connection was reset, or a line is too long.
        """
        loop = asyncio.get_running_loop()
        while True:
            end = self._received.find(b"\n")
            if end >= 0:
                line = bytes(self._received[:end])
                del self._received[: end + 1]
                return line.removesuffix(b"\r")
            if len(self._received) > MAX_LINE_BYTES:
                raise ConnectionError("overlong line")
            data = await loop.sock_recv(self._sock, RECEIVE_BYTES)
            if not data:
                return None
            self._received += data

    def has_peer_ended(self) -> bool:
        """Return whether the peer has closed its side and no received data is unread."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def write(self, line: bytes) -> None:
        """Send bytes after those written before; errors are ignored here, as the reader sees them too."""
        if self.is_closed:
            return
        if self._writer is None:
            try:
                sent = self._sock.send(line)
            except BlockingIOError:
                sent = 0
            except OSError:
                return
            line = line[sent:]
        if line:
            self._unsent += line
            if self._writer is None:
                self._writer = asyncio.get_running_loop().create_task(self._write_unsent())

    async def _write_unsent(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while self._unsent:
                data = bytes(self._unsent)
                self._unsent = bytearray()
                await loop.sock_sendall(self._sock, data)
        self._writer = None

    def end(self) -> None:
        """Close the sending side (half-close); the peer can still send."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, *, reset: bool = False) -> None:
        """Close the connection, by a reset if asked to.

        Without a reset the socket is shut down first, which wakes a pending reader: a descriptor that the event loop
        still waits on must not be closed.
        """
        if self.is_closed:
            return
        self.is_closed = True
        if self._writer is not None:
            self._writer.cancel()
        with contextlib.suppress(OSError):
            if reset:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            else:
                self._sock.shutdown(socket.SHUT_RDWR)
            self._sock.close()
