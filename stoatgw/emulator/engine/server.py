"""The stand-in as a process: `python -m stoatgw.emulator.engine.server --listen 127.0.0.1:2379 --data FILE`.

A change is kept in the file before it is answered; where the file cannot be written the change is not made, and the
answer is status 429, code 8, as of an engine that is out of space. Faults are asked for by POST /stand-in/faults:
{"lose": N} carries the next N transactions out and ends their connections unanswered, {"slow_ms": N} delays answers.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import time
from pathlib import Path

import orjson

from stoatgw.emulator.engine.gateway import PATHS, BadCallError, Body, NotFoundError, answer
from stoatgw.emulator.engine.store import Store, dump, load

BODY_MOST = 4 << 20


class Server:
    def __init__(self, data: Path | None, history: Path | None = None) -> None:
        self._data, self._history = data, history
        self.store = Store()
        if data is not None and data.exists():
            self.store = load(data.read_bytes(), _now_us())
        self._lose, self._slow_s = 0, 0.0
        self.asked = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ", 2)[1].decode("ascii")
            sizes = [line[15:] for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
            body = await reader.readexactly(min(int(sizes[0]), BODY_MOST) if sizes else 0)
            status, found = self._take(path, body)
            if self._slow_s:
                await asyncio.sleep(self._slow_s)
            if found is not None:
                data = orjson.dumps(found)
                line = b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n" % status
                writer.write(line + b"Content-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        writer.close()

    def _take(self, path: str, body: bytes) -> tuple[int, Body | None]:
        self.asked += 1
        try:
            asked = orjson.loads(body)
            if path == "/stand-in/faults":
                self._lose, self._slow_s = int(asked.get("lose", 0)), float(asked.get("slow_ms", 0)) / 1000
                return 200, {"asked": self.asked}
            if path not in PATHS:
                return 404, {"code": 5, "message": "Not Found"}
            self.store.expire(_now_us())  # ends on a full disk as well; kept with the next change
            before = self.store.copy()
            found = answer(self.store, path, asked, _now_us())
            if self.store.revision != before.revision or len(self.store.leases) != len(before.leases):
                try:
                    self._keep()
                except OSError:
                    self.store = before
                    return 429, {"code": 8, "message": "etcdserver: mvcc: database space exceeded"}
            if self._history is not None and self.store.revision != before.revision:
                self._tell_history()
            if path == "/v3/kv/txn" and self._lose:
                self._lose -= 1
                return 0, None
            return 200, found
        except NotFoundError as error:
            return 404, {"code": 5, "message": f"etcdserver: {error.args[0]}"}
        except (BadCallError, orjson.JSONDecodeError, AttributeError, TypeError, KeyError) as error:
            return 400, {"code": 3, "message": str(error)[:200]}

    def _tell_history(self) -> None:
        """One line a changed key, for whoever checks afterwards what was ever true."""
        if self._history is not None:
            with self._history.open("ab") as file:
                for key, entry in self.store.entries.items():
                    if entry.change == self.store.revision:
                        row = [entry.change, key.decode(), entry.value.decode("utf-8", "replace")]
                        file.write(orjson.dumps(row) + b"\n")

    def _keep(self) -> None:
        """Raises OSError, with the file as it was."""
        if self._data is None:
            return
        draft = self._data.with_suffix(".draft")
        try:
            draft.write_bytes(dump(self.store))
            os.replace(draft, self._data)
        except OSError:
            with contextlib.suppress(OSError):
                draft.unlink(missing_ok=True)
            raise


def _now_us() -> int:
    return time.monotonic_ns() // 1000


async def run(host: str, port: int, data: Path | None, history: Path | None) -> None:
    server = await asyncio.start_server(Server(data, history).serve, host, port)
    print(orjson.dumps({"event": "ready", "listen": f"{host}:{port}"}).decode(), flush=True)
    async with server:
        await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:2379")
    parser.add_argument("--data", type=Path)
    parser.add_argument("--history", type=Path)
    told = parser.parse_args()
    host, _, port = told.listen.rpartition(":")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(host, int(port), told.data, told.history))


if __name__ == "__main__":
    main()
