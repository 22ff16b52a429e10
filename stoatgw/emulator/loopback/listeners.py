"""The listening sockets of a simulated server, one for each proxy."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.loopback.addresses import AddressPlan

ACCEPT_RETRY_S = 0.01
BACKLOG_PLUGS = 3  # connections that fill a backlog of 0
STOP_TIMEOUT_S = 2.0

ServeConnection = Callable[[wire.LineSocket, int], Coroutine[Any, Any, None]]


class ServerListeners:
    """Accepts connections for a server, and makes it refuse them or stay silent."""

    def __init__(self, addresses: AddressPlan, server_number: int, serve: ServeConnection) -> None:
        """`serve` takes each connection and its proxy, in a task of its own."""
        self._addresses = addresses
        self._server_number = server_number
        self._serve = serve
        self._listeners: dict[int, tuple[socket.socket, asyncio.Task[None]]] = {}
        self._plugs: dict[int, list[socket.socket]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, proxy_count: int) -> None:
        """Listen for each proxy."""
        loop = asyncio.get_running_loop()
        for proxy in range(proxy_count):
            sock = wire.listen(self._addresses.server(self._server_number, proxy))
            self._listeners[proxy] = (sock, loop.create_task(self._accept(sock, proxy)))

    def refuse(self) -> None:
        """New connections are refused from now on."""
        for sock, task in self._listeners.values():
            task.cancel()
            task.add_done_callback(partial(_close_socket, sock))
        self._listeners.clear()

    def set_muted(self, proxy: int, is_muted: bool) -> None:
        """Whether new connections of a proxy stay unanswered."""
        if proxy not in self._listeners:
            return
        if is_muted and proxy not in self._plugs:
            self._mute(proxy)
        elif not is_muted and proxy in self._plugs:
            self._unmute(proxy)

    def _mute(self, proxy: int) -> None:
        sock, task = self._listeners[proxy]
        task.cancel()
        # A full backlog drops what comes: a machine that disappeared would not answer either.
        sock.listen(0)
        plugs = self._plugs[proxy] = []
        for _ in range(BACKLOG_PLUGS):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            plug.setblocking(False)
            plug.connect_ex(sock.getsockname())
            plugs.append(plug)

    def _unmute(self, proxy: int) -> None:
        sock, _ = self._listeners[proxy]
        for plug in self._plugs.pop(proxy):
            plug.close()
        sock.listen(wire.BACKLOG)
        self._listeners[proxy] = (sock, asyncio.get_running_loop().create_task(self._accept(sock, proxy)))

    async def stop(self) -> None:
        """End all connections' tasks; listeners are to be closed by `refuse` before."""
        tasks = [task for task in self._tasks if not task.done()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)
        for plugs in self._plugs.values():
            for plug in plugs:
                plug.close()

    async def _accept(self, sock: socket.socket, proxy: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(sock)
            except OSError:
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            task = loop.create_task(self._serve(wire.LineSocket(accepted), proxy))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


def _close_socket(sock: socket.socket, _: asyncio.Task[None]) -> None:
    sock.close()
