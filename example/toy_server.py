"""A toy session server and a toy discovery, with which a newcomer can try the proxy.

`python example/toy_server.py [SERVERS]` starts so many session servers on 127.0.0.1:9101 and up, and
discovery on 127.0.0.1:9100. A line "quit" ends a connection with BYE; any other line comes back.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from functools import partial

DISCOVERY, FIRST = 9100, 9101
CAPACITY = 20


class Server:
    def __init__(self, number: int) -> None:
        self.name, self.port, self.held = f"s-{number}", FIRST + number, 0

    def listed(self) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "near",
            "machineType": "toy",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := (await reader.readline()).strip():
                if line == b"STATS":
                    load = self.held / CAPACITY
                    writer.write(b"PONG inflight=%d,x0=%.3f\r\n" % (self.held, load))
                elif line == b"PING":
                    writer.write(b"PONG\r\n")
                elif line.startswith(b"OPEN "):
                    await self.hold(line, reader, writer)
                    break
                else:
                    writer.write(b"SYNTAX\r\n")
                    break
        writer.close()

    async def hold(self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        print(f"{self.name}: {line.decode()}", flush=True)
        self.held += 1
        writer.write(b"UP %s\r\n" % self.name.encode())
        try:
            while (line := await reader.readline()) and line.strip() != b"quit":
                writer.write(line)
            if line:
                writer.write(b"BYE\r\n")
        finally:
            self.held -= 1


async def discover(servers: list[Server], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request for the list, as a whole or as a watch that never changes."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        request = await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(
            {"generation": 1, "reset": True, "instances": [server.listed() for server in servers]}
        ).encode()
        if b"watch=1" not in request.partition(b"\r\n")[0]:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%s\n\r\n" % (len(body) + 1, body))
                await writer.drain()
                body = b""
                await asyncio.sleep(2)
    writer.close()


async def main() -> None:
    servers = [Server(number) for number in range(int(sys.argv[1]) if len(sys.argv) > 1 else 2)]
    for server in servers:
        await asyncio.start_server(server.serve, "127.0.0.1", server.port)
    await asyncio.start_server(partial(discover, servers), "127.0.0.1", DISCOVERY)
    print(f"{len(servers)} session servers from port {FIRST}, discovery on port {DISCOVERY}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
