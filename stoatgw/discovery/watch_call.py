"""One call to discovery: connect, request the watch, and read its objects until it ends or is closed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from stoatgw.config.deployment import Address
from stoatgw.discovery.http import JsonStreamParser
from stoatgw.sockets import tcp

CONNECT_TIMEOUT_S = 1.0
READ_SIZE_BYTES = 65536


class WatchState(Enum):
    """The stage that a call has reached."""

    CONNECTING = "connecting"
    REQUESTED = "requested"  # nothing has been received
    STREAMING = "streaming"  # an object or a keep-alive has been received
    CLOSED = "closed"  # by its owner


class WatchCall:
    """One watch of the endpoint list, on its own socket."""

    def __init__(self, on_item: Callable[[WatchCall, bytes], bool]) -> None:
        """Prepare the call.

        Args:
            on_item: Called with each object, and with b"" for a keep-alive line; returns whether the call continues.
        """
        self.state = WatchState.CONNECTING
        self._on_item = on_item
        self._task: asyncio.Task[None] | None = None

    def start(self, run: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine that receives this call in a task, which `close` cancels."""
        self._task = asyncio.get_running_loop().create_task(run)

    def close(self) -> None:
        """End the call; data that was already received is not passed on any more."""
        self.state = WatchState.CLOSED
        if self._task is not None:
            self._task.cancel()

    async def receive(self, address: Address, after_version: int | None) -> None:
        """Pass on all objects until the server ends the response.

        Args:
            address: The address of discovery.
            after_version: The current version, after which changes are requested; None requests a full snapshot.

        Raises:
            OSError: The connection failed, or was not established in time.
            HttpError: The response is not what was requested.
        """
        parser = JsonStreamParser()
        buffer = bytearray(READ_SIZE_BYTES)
        with tcp.open_socket() as sock:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await tcp.connect(sock, (address.host, address.port))
                await tcp.send_all(sock, _encode_request(address, after_version))
            self.state = WatchState.REQUESTED
            while not parser.is_complete:
                count = await tcp.receive_into(sock, buffer)
                if not count:
                    return
                for item in parser.receive_data(bytes(memoryview(buffer)[:count])):
                    if self.state is WatchState.CLOSED or not self._on_item(self, item):
                        return
                    if self.state is WatchState.REQUESTED:
                        self.state = WatchState.STREAMING


def _encode_request(address: Address, after_version: int | None) -> bytes:
    after = "" if after_version is None else f"&after={after_version}"
    target = f"GET /v1/endpoints?watch=1{after} HTTP/1.1\r\n"
    host = f"Host: {address.host}:{address.port}\r\n\r\n"
    return (target + host).encode()
