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
BACKLOG_FILLERS = 3  # connections that fill the accept queue of a socket with a backlog of 0
STOP_TIMEOUT_S = 2.0

ServeConnection = Callable[[wire.LineSocket, int], Coroutine[Any, Any, None]]


class ServerListeners:
    """Accepts connections for a server, or refuses them, or leaves them unanswered."""

    def __init__(self, addresses: AddressPlan, server_number: int, serve: ServeConnection) -> None:
        """Create the listeners, which accept nothing before `open`.

        Args:
            addresses: The run's addresses.
            server_number: The number that selects the server's addresses.
            serve: Serves one connection of a proxy; runs in a separate task for each connection.
        """
        self._addresses = addresses
        self._server_number = server_number
        self._serve = serve
        self._listeners: dict[int, tuple[socket.socket, asyncio.Task[None]]] = {}
        self._backlog_fillers: dict[int, list[socket.socket]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, proxy_count: int) -> None:
        """Listen at a separate address for each proxy."""
        loop = asyncio.get_running_loop()
        for proxy in range(proxy_count):
            sock = wire.listen(self._addresses.server(self._server_number, proxy))
            self._listeners[proxy] = (sock, loop.create_task(self._accept(sock, proxy)))

    def refuse(self) -> None:
        """Close the listeners: new connections are refused from now on."""
        for sock, task in self._listeners.values():
            task.cancel()
            task.add_done_callback(partial(_close_socket, sock))
        self._listeners.clear()

    def set_unresponsive(self, proxy: int, is_unresponsive: bool) -> None:
        """Set whether new connections of a proxy are left unanswered."""
        if proxy not in self._listeners:
            return
        if is_unresponsive and proxy not in self._backlog_fillers:
            self._make_unresponsive(proxy)
        elif not is_unresponsive and proxy in self._backlog_fillers:
            self._make_responsive(proxy)

    def _make_unresponsive(self, proxy: int) -> None:
        sock, task = self._listeners[proxy]
        task.cancel()
        # With a full accept queue the kernel drops connection requests, so they stay unanswered, as they would by a
        # machine that has disappeared.
        sock.listen(0)
        fillers = self._backlog_fillers[proxy] = []
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(sock.getsockname())
            fillers.append(filler)

    def _make_responsive(self, proxy: int) -> None:
        sock, _ = self._listeners[proxy]
        for filler in self._backlog_fillers.pop(proxy):
            filler.close()
        sock.listen(wire.BACKLOG)
        self._listeners[proxy] = (sock, asyncio.get_running_loop().create_task(self._accept(sock, proxy)))

    async def stop(self) -> None:
        """Cancel the tasks of all connections; the caller closes the listeners first, by `refuse`."""
        tasks = [task for task in self._tasks if not task.done()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)
        for fillers in self._backlog_fillers.values():
            for filler in fillers:
                filler.close()

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
