"""Wait for a socket's next event, with a watch in the event loop that is removed at that event."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod


class _Watch(ABC):
    """A watch of a socket in the event loop, until the socket's next event or the end of the `with` block.

    When a connection breaks, uvloop notifies its watches once and drops them silently. A watch that was kept beyond an
    event would never be notified again: its task would hang if it read only data that arrived with the break, or if its
    call failed with a transient error just then. uvloop's entry for the socket is unusable until a watch is removed, so
    it is removed in the callback that reports the event.

    The loop is passed the socket, not its descriptor, so that uvloop keeps it open until the watch is removed: closing
    a descriptor that the loop polls aborts the process.
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


class ReadableWatch(_Watch):
    """A watch for data to read, a connection to accept, or the end of the stream."""

    __slots__ = ()

    def _add(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.add_reader(self._sock, self._on_event)

    def _remove(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_reader(self._sock)


class WritableWatch(_Watch):
    """A watch for space in the send buffer, or a broken connection."""

    __slots__ = ()

    def _add(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.add_writer(self._sock, self._on_event)

    def _remove(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._sock)


async def wait_readable(sock: socket.socket, ready: asyncio.Future[None] | None = None) -> None:
    """Wait until a read or an accept would not block; nothing is consumed. Raises OSError if the watch cannot be added.

    asyncio's `loop.sock_accept` would lose an accepted connection if cancelled in the same iteration of the event loop.

    Args:
        sock: The socket.
        ready: The future to wait for, from a caller that ends the wait by setting its result; None to create one.
    """
    with ReadableWatch(sock, ready) as notified:
        await notified


async def wait_writable(sock: socket.socket) -> None:
    """Wait until a write would not block, or would raise. Raises OSError if the watch cannot be added."""
    with WritableWatch(sock) as notified:
        await notified
