"""The emulator's process: `python -m stoatgw.emulator.engine.server --listen 127.0.0.1:2379 --data FILE`.

A change is stored in the file before it is answered. If the file cannot be written, the change is not made, and the
response is status 429 with code 8, as from an engine that is out of space. POST /stand-in/faults injects faults:
{"lose": N} executes the next N transactions but closes their connections without a response, {"slow_ms": N} delays
responses.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from stoatgw.emulator.engine.gateway import HANDLERS, Body, InvalidCallError, NotFoundError, handle_call
from stoatgw.emulator.engine.store import Store, dump, restore

MAX_BODY_BYTES = 4 << 20
FAULTS_PATH = "/stand-in/faults"
TRANSACTION_PATH = "/v3/kv/txn"
LENGTH_HEADER = b"content-length:"


@dataclass(frozen=True, slots=True)
class EngineResponse:
    """A status and a JSON body."""

    status: int
    body: Body

    def encode(self) -> bytes:
        """Encode the HTTP response."""
        data = orjson.dumps(self.body)
        head = b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        return head % (self.status, len(data)) + data


class EngineServer:
    """Serves one call per connection.

    Attributes:
        store: The keys and leases.
        calls: Number of calls received.
    """

    def __init__(self, data: Path | None, history: Path | None = None) -> None:
        """Create a server.

        Args:
            data: The file in which the store is kept, if any.
            history: The file to which each changed key is appended, if any.
        """
        self._data = data
        self._history = history
        self.store = Store()
        if data is not None and data.exists():
            self.store = restore(data.read_bytes(), _now_us())
        self._responses_to_drop = 0
        self._delay_s = 0.0
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the call of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ", 2)[1].decode("ascii")
            body = await reader.readexactly(min(_read_length(head), MAX_BODY_BYTES))
            response = self._handle(path, body)
            if self._delay_s:
                await asyncio.sleep(self._delay_s)
            if response is not None:
                writer.write(response.encode())
                await writer.drain()
        writer.close()

    def _handle(self, path: str, body: bytes) -> EngineResponse | None:
        """Execute a call; return None if an injected fault drops the response."""
        self.calls += 1
        try:
            response = self._execute_request(path, orjson.loads(body))
        except NotFoundError as error:
            return EngineResponse(404, {"code": 5, "message": f"etcdserver: {error.args[0]}"})
        except (InvalidCallError, orjson.JSONDecodeError, AttributeError, TypeError, KeyError) as error:
            return EngineResponse(400, {"code": 3, "message": str(error)[:200]})
        if path == TRANSACTION_PATH and response.status == 200 and self._responses_to_drop:
            self._responses_to_drop -= 1
            return None
        return response

    def _execute_request(self, path: str, request: Any) -> EngineResponse:
        if path == FAULTS_PATH:
            self._responses_to_drop = int(request.get("lose", 0))
            self._delay_s = float(request.get("slow_ms", 0)) / 1000
            return EngineResponse(200, {"asked": self.calls})
        if path not in HANDLERS:
            return EngineResponse(404, {"code": 5, "message": "Not Found"})
        self.store.expire(_now_us())  # leases expire even if the disk is full; stored with the next change
        before = self.store.copy()
        response = handle_call(self.store, path, request, _now_us())
        has_changed = self.store.revision != before.revision
        if has_changed or len(self.store.leases) != len(before.leases):
            try:
                self._save()
            except OSError:
                self.store = before
                return EngineResponse(429, {"code": 8, "message": "etcdserver: mvcc: database space exceeded"})
        if has_changed:
            self._append_history()
        return EngineResponse(200, response)

    def _append_history(self) -> None:
        """Append a line for each changed key, so that tests can check everything that was ever stored."""
        if self._history is None:
            return
        with self._history.open("ab") as file:
            for key, entry in self.store.entries.items():
                if entry.mod_revision == self.store.revision:
                    row = [entry.mod_revision, key.decode(), entry.value.decode("utf-8", "replace")]
                    file.write(orjson.dumps(row) + b"\n")

    def _save(self) -> None:
        """Replace the data file atomically.

        Raises:
            OSError: The file could not be written; it is unchanged.
        """
        if self._data is None:
            return
        draft = self._data.with_suffix(".draft")
        try:
            draft.write_bytes(dump(self.store))
            draft.replace(self._data)
        except OSError:
            with contextlib.suppress(OSError):
                draft.unlink(missing_ok=True)
            raise


def _read_length(head: bytes) -> int:
    """Return the content length of a request, or 0 if it has none.

    Raises:
        ValueError: The length is not a number.
    """
    for line in head.split(b"\r\n"):
        if line.lower().startswith(LENGTH_HEADER):
            return int(line[len(LENGTH_HEADER) :])
    return 0


def _now_us() -> int:
    return time.monotonic_ns() // 1000


async def run(host: str, port: int, data: Path | None, history: Path | None) -> None:
    """Serve until cancelled."""
    server = await asyncio.start_server(EngineServer(data, history).serve, host, port)
    print(orjson.dumps({"event": "ready", "listen": f"{host}:{port}"}).decode(), flush=True)
    async with server:
        await server.serve_forever()


def main() -> None:
    """Run the process."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:2379")
    parser.add_argument("--data", type=Path)
    parser.add_argument("--history", type=Path)
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(host, int(port), options.data, options.history))


if __name__ == "__main__":
    main()
