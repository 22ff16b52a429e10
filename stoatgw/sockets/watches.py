"""Waits for the next event of a socket, with watches of the event loop that outlive no event."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod


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


class ReadableWatch(_Watch):
    """A watch for something to read or to accept, or for an end."""

    __slots__ = ()

    def _add(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.add_reader(self._sock, self._on_event)

    def _remove(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_reader(self._sock)


class WritableWatch(_Watch):
    """A watch for room to write, or for a break."""

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
    with ReadableWatch(sock, ready) as told:
        await told


async def wait_writable(sock: socket.socket) -> None:
    """Wait until there is room to write, or a break to be found. Raises OSError if it cannot be watched."""
    with WritableWatch(sock) as told:
        await told
