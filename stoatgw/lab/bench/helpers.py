"""The toy servers and the bare relay, each run by its own process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from multiprocessing.connection import Connection
from typing import Any

import uvloop

from stoatgw.lab.bench.endpoints import (
    PORT,
    RELAY_HOST,
    SERVER_COUNT,
    make_listening_socket,
    make_stream_socket,
    prepare_stream_socket,
    server_host,
    set_up_helper_process,
)

READY = "up"  # sent to the bench by a process once it is ready
COPY_BUFFER_BYTES = 8192

Helper = Callable[[Connection], Coroutine[Any, Any, None]]


def run_helper(helper: Helper, core: int, pipe: Connection) -> None:
    """Run a helper; the main function of a helper process."""
    set_up_helper_process(core)
    uvloop.run(helper(pipe))


class ToyServer(asyncio.Protocol):
    """A session server that answers OPEN by UP and health checks by a low load, and echoes every other line."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the answers."""
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """Answer a line; it is expected in a single read, as the load generators send it in a single write."""
        if data.startswith(b"OPEN "):
            self._transport.write(b"UP toy\r\n")
        elif data.startswith(b"STATS"):
            self._transport.write(b"PONG inflight=10,x0=0.001\r\n")
        else:
            self._transport.write(data)


async def serve_toy_servers(pipe: Connection) -> None:
    """Run all toy servers."""
    loop = asyncio.get_running_loop()
    for index in range(SERVER_COUNT):
        await loop.create_server(ToyServer, sock=make_listening_socket(server_host(index)))
    pipe.send(READY)
    await asyncio.Event().wait()


async def serve_relay(pipe: Connection) -> None:
    """Run the relay, which connects its clients to the servers round robin."""
    loop = asyncio.get_running_loop()
    listening = make_listening_socket(RELAY_HOST)
    pipe.send(READY)
    tasks: set[asyncio.Task[None]] = set()
    accepted = 0
    while True:
        client, _ = await loop.sock_accept(listening)
        accepted += 1
        task = loop.create_task(_relay(client, server_host(accepted % SERVER_COUNT)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def _relay(client: socket.socket, host: str) -> None:
    """Copy bytes in both directions until either side ends."""
    loop = asyncio.get_running_loop()
    server = make_stream_socket()
    prepare_stream_socket(client)
    try:
        await loop.sock_connect(server, (host.encode(), PORT))  # bytes as in the proxy; a str goes through a codec
        copies = [loop.create_task(_copy(client, server)), loop.create_task(_copy(server, client))]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
            copy.cancel()
        await asyncio.wait(copies)
    except OSError:
        pass  # the server refused the connection or is not reachable: the client's connection is closed
    finally:
        client.close()
        server.close()


async def _copy(source: socket.socket, destination: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    buffer = bytearray(COPY_BUFFER_BYTES)
    with contextlib.suppress(OSError):
        while count := await loop.sock_recv_into(source, buffer):
            await loop.sock_sendall(destination, memoryview(buffer)[:count])
