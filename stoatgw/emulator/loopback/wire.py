"""Small pieces that the stand-ins share: line sockets on uvloop, and addresses."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

LINE_MOST = 4096
_RESET = struct.pack("ii", 1, 0)
PORT = 18_000


def proxy_address(proxy: int, base: int) -> tuple[str, int]:
    return f"127.{base}.255.{proxy + 1}", PORT


def server_address(server: int, proxy: int, base: int) -> tuple[str, int]:
    """Each proxy reaches each server at an address that is theirs alone: so it is known who calls."""
    return f"127.{base + 1 + proxy}.{server // 250}.{1 + server % 250}", PORT


def discovery_address(proxy: int, base: int) -> tuple[str, int]:
    return f"127.{base}.254.{proxy + 1}", PORT


def listen(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(1024)
    return sock


class LineSocket:
    """Lines over a non-blocking socket; writes go out at once or in the background, in order."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._rest = sock, bytearray()
        self._unsent = bytearray()
        self._writing: asyncio.Task[None] | None = None
        self.closed = False

    async def read_line(self) -> bytes | None:
        """The next line without its end; None at the end. Raises OSError on a reset."""
        loop = asyncio.get_running_loop()
        while True:
            at = self._rest.find(b"\n")
            if at >= 0:
                line = bytes(self._rest[:at])
                del self._rest[: at + 1]
                return line[:-1] if line.endswith(b"\r") else line
            if len(self._rest) > LINE_MOST:
                raise ConnectionError("overlong line")
            data = await loop.sock_recv(self._sock, 65536)
            if not data:
                return None
            self._rest += data

    def ended(self) -> bool:
        """Whether the peer has ended its side, and all that it sent is read."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def write(self, line: bytes) -> None:
        if self.closed:
            return
        if self._writing is None:
            try:
                sent = self._sock.send(line)
            except BlockingIOError:
                sent = 0
            except OSError:
                return  # the reader sees why
            line = line[sent:]
        if line:
            self._unsent += line
            if self._writing is None:
                self._writing = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while self._unsent:
                data, self._unsent = bytes(self._unsent), bytearray()
                await loop.sock_sendall(self._sock, data)
        self._writing = None

    def end(self) -> None:
        """Our side ends; the peer's may go on."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, *, reset: bool = False) -> None:
        """Close both sides. Whoever reads is woken first: a descriptor that is waited on may not be closed."""
        if self.closed:
            return
        self.closed = True
        if self._writing is not None:
            self._writing.cancel()
        with contextlib.suppress(OSError):
            if reset:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                self._sock.close()
            else:
                self._sock.shutdown(socket.SHUT_RDWR)
                self._sock.close()
