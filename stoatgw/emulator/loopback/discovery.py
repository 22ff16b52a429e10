"""Simulated discovery: it serves each proxy, at a separate address, the full endpoint list or a watch over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import Coroutine
from typing import Any

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.loopback.run_state import RunState
from stoatgw.emulator.world.endpoint_publication import EndpointEntry

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines on a watch
MAX_REQUEST_BYTES = 16_384
STOP_TIMEOUT_S = 2.0


class DiscoveryEndpoint:
    """The discovery server of one proxy, as a discovery agent on its machine would be."""

    def __init__(self, run: RunState, proxy: int) -> None:
        self._run = run
        self._world = run.world
        self._proxy = proxy
        self._generation = 1
        self._watches: set[wire.LineSocket] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None

    def open(self) -> None:
        """Accept connections, and send heartbeats on watches."""
        self._sock = wire.listen(self._run.addresses.discovery(self._proxy))
        self._spawn(self._accept(self._sock))
        self._spawn(self._send_heartbeats())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Close all connections and the listener."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)
        if self._sock is not None:
            self._sock.close()

    # Publication.

    def snapshot(self) -> dict[str, Any]:
        """Return the full list, as published to the proxy so far."""
        return self._endpoint_update(
            list(self._world.discovery.known_endpoints[self._proxy].values()), is_snapshot=True
        )

    def publish(self, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        """Send entries on all watches."""
        self._generation += 1
        line = json.dumps(self._endpoint_update(entries, is_snapshot)).encode() + b"\n"
        for watch in self._watches:
            watch.write(_chunk(line))

    def corrupt_watches(self) -> None:
        """Send a line that is not JSON and an object without its list, and end the stream in the middle of a chunk."""
        for watch in list(self._watches):
            watch.write(_chunk(b'{"generation":\xff,"inst\n') + _chunk(b'{"generation":7}\n') + b"ffff\r\n{")
            watch.end()

    def _endpoint_update(self, entries: list[EndpointEntry], is_snapshot: bool) -> dict[str, Any]:
        instances = [self._instance(entry) for entry in entries]
        return {"generation": self._generation, "reset": is_snapshot, "instances": instances}

    def _instance(self, entry: EndpointEntry) -> dict[str, Any]:
        host, port = self._run.addresses.server(self._run.server_numbers[entry.server], self._proxy)
        fleet = self._world.scenario.fleet
        return {
            "instanceId": entry.server,
            "hostPort": f"{host}:{port}",
            "zone": fleet.zones[entry.zone],
            "machineType": fleet.kinds[entry.server_kind].name,
            "cell": 0,
            "lifecycle": entry.lifecycle,
            "weight": 1.0,
            "startedAtMs": entry.started_us // 1000,
        }

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for watch in self._watches:
                watch.write(_chunk(b"\n"))

    # HTTP.

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(sock)
            self._spawn(self._serve(wire.LineSocket(accepted)))

    async def _serve(self, lines: wire.LineSocket) -> None:
        with contextlib.suppress(OSError):
            try:
                await self._answer(lines)
            finally:
                self._watches.discard(lines)
                lines.end()
                lines.close()

    async def _answer(self, lines: wire.LineSocket) -> None:
        request = await lines.read_line()
        header_bytes = 0
        while header := await lines.read_line():
            header_bytes += len(header)
            if header_bytes > MAX_REQUEST_BYTES:
                return
        target = re.match(rb"GET (\S+) HTTP/1\.1$", request or b"")
        if target is None:
            lines.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        body = json.dumps(self.snapshot()).encode()
        if b"watch=1" not in target.group(1):
            lines.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        lines.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body + b"\n"))
        self._world.log_notified(self._proxy, list(self._world.discovery.known_endpoints[self._proxy].values()))
        self._watches.add(lines)
        while await lines.read_line() is not None:
            pass  # the client sends nothing more: wait until it closes the connection


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
