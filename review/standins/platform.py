"""The discovery agent of a proxy, the calls to its second address, and the front's PING."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re

from standins.record import Record

HEARTBEAT_S = 2.0


class Agent:
    """Discovery's agent on the proxy's machine.

    It answers at once with what it has. While discovery is down it is silent: it accepts connections, answers no call
    and writes nothing to open watches, and it learns nothing; at the return it answers and tells what it missed.
    """

    def __init__(self, record: Record, instances: dict[str, dict]) -> None:
        self._record = record
        self._log: list[tuple[int, list[dict]]] = []  # changes by generation
        self._up = asyncio.Event()
        self._up.set()
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.generation = 41
        self.instances = instances

    async def open(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def snapshot(self) -> dict:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    async def change(self, name: str, **fields) -> None:
        """Change an instance of the list, and tell it on all watches."""
        self.generation += 1
        self.instances[name] = self.instances[name] | fields
        self._log.append((self.generation, [self.instances[name]]))
        self._record.write(f"discovery has generation {self.generation}: {name} {fields}")
        async with self._changed:
            self._changed.notify_all()

    async def go_silent(self, silent: bool) -> None:
        """Begin or end an outage of discovery."""
        self._record.write("discovery is down: its agent is silent" if silent else "discovery is back")
        if silent:
            self._up.clear()
        else:
            self._up.set()
            async with self._changed:
                self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            await self._up.wait()
            target = re.match(rb"GET (\S+) HTTP/1\.1\r\n", head)
            if target is None:
                writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            elif b"watch=1" not in target.group(1):
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            else:
                await self._watch(writer, target.group(1))
            await writer.drain()
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, target: bytes) -> None:
        after = re.search(rb"after=(\d+)", target)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if after is None or not 41 <= int(after.group(1)) <= self.generation:
            told = self._tell(writer, self.snapshot())
        else:
            told = self._tell(writer, self._changes_after(int(after.group(1))))
        while not writer.is_closing():
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), HEARTBEAT_S)
            if not self._up.is_set():
                continue
            if told < self.generation:
                told = self._tell(writer, self._changes_after(told))
            else:
                _chunk(writer, b"\r\n")
            await writer.drain()

    def _changes_after(self, version: int) -> dict:
        entries = {entry["instanceId"]: entry for number, page in self._log if number > version for entry in page}
        return {"generation": self.generation, "reset": False, "instances": list(entries.values())}

    def _tell(self, writer: asyncio.StreamWriter, page: dict) -> int:
        _chunk(writer, json.dumps(page).encode() + b"\n")
        peer = writer.get_extra_info("peername")
        states = " ".join(f"{entry['instanceId']}={entry['lifecycle']}" for entry in page["instances"])
        self._record.write(f"told on the watch from port {peer[1]}: generation {page['generation']} {states}")
        return int(page["generation"])


def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def instance(name: str, port: int, zone: str, kind: str = "std-2c") -> dict:
    """Return an entry of the list."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
    }


async def call(port: int, method: str, path: str) -> tuple[int, str]:
    """Make one call to a proxy's second address; status 0 if there is no answer within a second."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: operators\r\n\r\n".encode())
            data = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, ""
    status = re.match(rb"HTTP/1\.1 (\d+)", data)
    return int(status.group(1)) if status else 0, data.rpartition(b"\r\n\r\n")[2].decode().strip()


async def ping(port: int) -> str:
    """Ask as the front does; return the answer, or "" without one."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"PING\r\n")
            line = await reader.readline()
            writer.close()
            return line.decode().strip()
    except (OSError, TimeoutError):
        return ""
