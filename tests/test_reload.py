"""SIGHUP on the program itself: the watch moves to the new address, and a bad file changes nothing."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

from tests.test_discovery import CONFIG, HEAD, entry, page

Asked = asyncio.Queue[bytes]


async def discovery(body: bytes) -> tuple[asyncio.Server, str, Asked]:
    """A toy that answers one object and stays silent; its address, and what it was asked."""
    asked: Asked = asyncio.Queue()

    async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.put_nowait(await reader.readline())
        writer.write(HEAD + b"%x\r\n%s\r\n" % (len(body), body))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(taken, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}", asked


async def events(out: asyncio.StreamReader, name: str) -> dict[str, object]:
    while line := await out.readline():
        event: dict[str, object] = json.loads(line)
        if event["event"] == name:
            return event
    raise AssertionError(f"ended before {name}")


async def reload(path: Path) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    _old, first, asked_first = await discovery(json.dumps(page(entry())).encode() + b"\n")
    _new, second, asked_second = await discovery(b"\n")
    path.write_text(json.dumps(CONFIG | {"listen": listen, "discovery": first}))
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "stoatgw", env=os.environ | {"LB_CONFIG": str(path)}, stdout=-1
    )
    assert program.stdout is not None
    async with asyncio.timeout(20):
        await events(program.stdout, "ready")
        assert b"after" not in await asked_first.get()
        await events(program.stdout, "endpoint_list_updated")
        path.write_text("{half a fi")
        program.send_signal(signal.SIGHUP)
        await events(program.stdout, "configuration_rejected")
        path.write_text(json.dumps(CONFIG | {"listen": listen, "discovery": second}))
        program.send_signal(signal.SIGHUP)
        assert (await events(program.stdout, "configuration_reloaded"))["restart_needed"] is False
        assert b"after=41 " in await asked_second.get()
        assert asked_first.empty()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


def test_a_reload_moves_the_watch_and_ends_nothing(tmp_path: Path) -> None:
    asyncio.run(reload(tmp_path / "config.json"))
