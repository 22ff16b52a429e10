"""Toy session servers and a toy discovery service, to try the proxy with.

    python example/toy_server.py [SERVERS]

starts SERVERS session servers (two by default) on 127.0.0.1:9101 and up, and discovery on 127.0.0.1:9100.

A session server answers the first line of a connection:

    OPEN ...        UP name, then each line is echoed; `quit` ends the session with BYE
    STATS           PONG with the server's load report: a health check
    PING            PONG

Discovery answers `GET /v1/endpoints?watch=1` with one JSON object, the full list of endpoints, and then keeps the
response open and sends an empty line every two seconds: a watch of a list that never changes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys

HOST = "127.0.0.1"
DISCOVERY_PORT = 9100
FIRST_SERVER_PORT = 9101
DEFAULT_SERVERS = 2
SESSION_CAPACITY = 20
KEEP_ALIVE_INTERVAL_S = 2


class SessionServer:
    """Serves sessions that echo their lines."""

    def __init__(self, index: int) -> None:
        """Name the server after its index."""
        self.name = f"s-{index}"
        self.port = FIRST_SERVER_PORT + index
        self.open_sessions = 0

    async def start(self) -> None:
        """Listen on the server's port."""
        await asyncio.start_server(self._serve, HOST, self.port)

    def to_endpoint(self) -> dict[str, object]:
        """Return the server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "near",
            "machineType": "toy",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := (await reader.readline()).strip():
                if line == b"STATS":
                    load = self.open_sessions / SESSION_CAPACITY
                    writer.write(b"PONG inflight=%d,x0=%.3f\r\n" % (self.open_sessions, load))
                elif line == b"PING":
                    writer.write(b"PONG\r\n")
                elif line.startswith(b"OPEN "):
                    await self._run_session(line, reader, writer)
                    break
                else:
                    writer.write(b"SYNTAX\r\n")
                    break
        writer.close()

    async def _run_session(self, request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        print(f"{self.name}: {request.decode()}", flush=True)
        self.open_sessions += 1
        writer.write(b"UP %s\r\n" % self.name.encode())
        try:
            while (line := await reader.readline()) and line.strip() != b"quit":
                writer.write(line)
            if line:
                writer.write(b"BYE\r\n")
        finally:
            self.open_sessions -= 1


class Discovery:
    """Serves the endpoint list over HTTP."""

    def __init__(self, servers: list[SessionServer]) -> None:
        """Encode the list, which never changes."""
        endpoints = [server.to_endpoint() for server in servers]
        self._endpoint_update = json.dumps({"generation": 1, "reset": True, "instances": endpoints}).encode()

    async def start(self) -> None:
        """Listen on discovery's port."""
        await asyncio.start_server(self._serve, HOST, DISCOVERY_PORT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b"\r\n\r\n")
            request_line, _, _ = request.partition(b"\r\n")
            if b"watch=1" in request_line:
                await self._stream(writer)
            else:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(self._endpoint_update), self._endpoint_update)
                )
        writer.close()

    async def _stream(self, writer: asyncio.StreamWriter) -> None:
        """Send the list as the first chunk of an endless response, then empty lines.

        Raises:
            ConnectionError: The client has disconnected.
        """
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = self._endpoint_update + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
            chunk = b"\n"
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)


async def main(server_count: int) -> None:
    """Serve until the process is interrupted."""
    servers = [SessionServer(index) for index in range(server_count)]
    for server in servers:
        await server.start()
    await Discovery(servers).start()
    print(
        f"{server_count} session servers from port {FIRST_SERVER_PORT}, discovery on port {DISCOVERY_PORT}", flush=True
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SERVERS))
