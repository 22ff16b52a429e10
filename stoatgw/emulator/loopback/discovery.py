"""Stand-in discovery: one address for each proxy, with the whole list or a watch over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from typing import TYPE_CHECKING, Any

from stoatgw.emulator.loopback import wire
from stoatgw.emulator.world.endpoint_publication import EndpointEntry

if TYPE_CHECKING:
    from stoatgw.emulator.loopback.driver import LoopbackDriver

ALIVE_S = 2.0  # an empty line so often, while nothing changes
REQUEST_MOST = 16_384


class DiscoveryEndpoint:
    """The agent on one proxy's machine: it has what it has been sent."""

    def __init__(self, driver: LoopbackDriver, proxy: int) -> None:
        self._driver, self._proxy = driver, proxy
        self._generation = 1
        self._watches: set[wire.LineSocket] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None

    def open(self) -> None:
        self._sock = wire.listen(wire.discovery_address(self._proxy, self._driver.base))
        self._spawn(self._accept(self._sock))
        self._spawn(self._keep_alive())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=2.0)
        if self._sock is not None:
            self._sock.close()

    def page(self, rows: list[EndpointEntry], whole: bool) -> dict[str, Any]:
        """Rows in discovery's form."""
        driver = self._driver
        instances = []
        for row in rows:
            host, port = wire.server_address(driver.server_numbers[row.server], self._proxy, driver.base)
            instances.append(
                {
                    "instanceId": row.server,
                    "hostPort": f"{host}:{port}",
                    "zone": driver.world.scenario.fleet.zones[row.zone],
                    "machineType": driver.world.scenario.fleet.kinds[row.server_kind].name,
                    "cell": 0,
                    "lifecycle": row.lifecycle,
                    "weight": 1.0,
                    "startedAtMs": row.started_us // 1000,
                }
            )
        return {"generation": self._generation, "reset": whole, "instances": instances}

    def whole(self) -> dict[str, Any]:
        return self.page(list(self._driver.world.discovery.known_endpoints[self._proxy].values()), True)

    def tell(self, rows: list[EndpointEntry], whole: bool) -> bool:
        """Write to whoever watches; whether anybody does."""
        self._generation += 1
        line = json.dumps(self.page(rows, whole)).encode() + b"\n"
        for watch in self._watches:
            watch.write(_chunk(line))
        return bool(self._watches)

    def garble(self) -> None:
        """A line that is no JSON, an object without its list, and an end in the middle of a chunk."""
        for watch in list(self._watches):
            watch.write(_chunk(b'{"generation":\xff,"inst\n') + _chunk(b'{"generation":7}\n') + b"ffff\r\n{")
            watch.end()

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(ALIVE_S)
            for watch in self._watches:
                watch.write(_chunk(b"\n"))

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            taken, _ = await loop.sock_accept(sock)
            self._spawn(self._serve(wire.LineSocket(taken)))

    async def _serve(self, lines: wire.LineSocket) -> None:
        try:
            request, size = await lines.read_line(), 0
            while header := await lines.read_line():
                size += len(header)
                if size > REQUEST_MOST:
                    return
            target = re.match(rb"GET (\S+) HTTP/1\.1$", request or b"")
            if target is None:
                lines.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                return
            body = json.dumps(self.whole()).encode()
            if b"watch=1" not in target.group(1):
                lines.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            lines.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body + b"\n"))
            self._driver.log_snapshot(self._proxy)
            self._watches.add(lines)
            while await lines.read_line() is not None:
                pass
        except OSError:
            pass
        finally:
            self._watches.discard(lines)
            with contextlib.suppress(OSError):
                lines.end()
            lines.close()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
