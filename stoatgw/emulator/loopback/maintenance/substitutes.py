"""Substitutes for the services that the proxies use, in this process: session servers, discovery, engine links."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from stoatgw.emulator.loopback.maintenance.addresses import free_port

FORWARD_BYTES = 65536
HEARTBEAT_INTERVAL_S = 1.0


class EngineLink:
    """Forwards one proxy's connections to the engine.

    While it is cut it forwards no data, but keeps connections open and accepts new ones.

    Attributes:
        port: The port at which the proxy connects.
    """

    def __init__(self, host: str, engine_port: int) -> None:
        self._host = host
        self._engine_port = engine_port
        self._is_connected = asyncio.Event()
        self._is_connected.set()
        self.port = free_port(host)

    async def start(self) -> asyncio.Server:
        """Listen, and return the server, which the caller closes."""
        return await asyncio.start_server(self._forward_connection, self._host, self.port)

    def cut(self) -> None:
        """Stop forwarding data."""
        self._is_connected.clear()

    def restore(self) -> None:
        """Forward data again, including any received while the link was cut."""
        self._is_connected.set()

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            engine_reader, engine_writer = await asyncio.open_connection(self._host, self._engine_port)
            await asyncio.gather(self._forward(reader, engine_writer), self._forward(engine_reader, writer))
        writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(FORWARD_BYTES):
                await self._is_connected.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()


class SessionServer:
    """A session server that accepts all sessions and echoes their lines, answers health checks, and can be restarted.

    Attributes:
        host: Its address.
        name: Its instance id.
        zone: Its zone.
        port: Its port.
        start_ms: When it was last restarted, in Unix time; 0 before.
        is_up: Whether it listens.
        sessions: The connections of its current sessions.
        health_checks: The number of health checks that it has answered.
    """

    def __init__(self, host: str, name: str, zone: str) -> None:
        self.host = host
        self.name = name
        self.zone = zone
        self.port = free_port(host)
        self.start_ms = 0
        self.is_up = False
        self.sessions: set[asyncio.StreamWriter] = set()
        self.health_checks = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and serve connections."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.is_up = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                verb = line.split(b" ")[0].strip()
                if verb == b"OPEN":
                    self.sessions.add(writer)
                    writer.write(b"UP 77\r\n")
                elif verb in (b"PING", b"STATS"):
                    self.health_checks += 1
                    count = len(self.sessions)
                    writer.write(b"PONG inflight=%d,x0=%.3f\r\n" % (count, 0.01 * count))
                else:
                    writer.write(line)
        self.sessions.discard(writer)
        writer.close()

    async def restart(self, downtime_s: float) -> None:
        """Close all connections and stop to listen; after the downtime listen again, with a new start time."""
        if self._server is not None:
            self._server.close()
        self.is_up = False
        for writer in list(self.sessions):
            writer.transport.abort()
        await asyncio.sleep(downtime_s)
        self.start_ms = time.time_ns() // 1_000_000
        await self.start()


class DiscoveryServer:
    """Serves watches of the endpoint list, with a line at least every heartbeat interval.

    Attributes:
        port: Its port.
    """

    def __init__(self, host: str, servers: list[SessionServer]) -> None:
        self._host = host
        self._servers = servers
        self._version = 1
        self._changed = asyncio.Event()
        self._is_stopped = False
        self.port = free_port(host)

    async def start(self) -> asyncio.Server:
        """Listen, and return the server, which the caller closes."""
        return await asyncio.start_server(self._serve, self._host, self.port)

    def publish(self) -> None:
        """Send the list on all watches, after a change of the servers."""
        self._version += 1
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def stop(self) -> None:
        """End all watches."""
        self._is_stopped = True
        self.publish()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sent_version = 0
            while not self._is_stopped:
                line = b"\n"
                if sent_version != self._version:
                    sent_version = self._version
                    line = json.dumps(self._endpoint_list()).encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), HEARTBEAT_INTERVAL_S)
        writer.close()

    def _endpoint_list(self) -> dict[str, Any]:
        instances = [
            {
                "instanceId": server.name,
                "hostPort": f"{server.host}:{server.port}",
                "zone": server.zone,
                "machineType": "m1",
                "cell": 0,
                "lifecycle": "SERVING",
                "weight": 1.0,
                "startedAtMs": server.start_ms,
            }
            for server in self._servers
            if server.is_up
        ]
        return {"generation": self._version, "reset": True, "instances": instances}
