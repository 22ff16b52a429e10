"""SIGHUP sent to a proxy process: the watch moves to the new discovery address, and an invalid file changes nothing."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from tests.proxy_process import free_port, next_event, start_discovery, write_config
from tests.test_discovery import entry, page


async def run_reload(path: Path) -> None:
    listen = f"127.0.0.1:{free_port()}"
    old = await start_discovery(json.dumps(page(entry())).encode() + b"\n")
    new = await start_discovery(b"\n")
    write_config(path, listen=listen, discovery=old.address)
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "stoatgw", env=os.environ | {"LB_CONFIG": str(path)}, stdout=-1
    )
    assert program.stdout is not None
    async with asyncio.timeout(20):
        await next_event(program.stdout, "ready")
        assert b"after" not in await old.requests.get()
        await next_event(program.stdout, "endpoint_list_updated")
        write_partial_file(path)
        program.send_signal(signal.SIGHUP)
        await next_event(program.stdout, "configuration_rejected")
        write_config(path, listen=listen, discovery=new.address)
        program.send_signal(signal.SIGHUP)
        assert (await next_event(program.stdout, "configuration_reloaded"))["restart_needed"] is False
        assert b"after=41 " in await new.requests.get()
        assert old.requests.empty()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


def write_partial_file(path: Path) -> None:
    path.write_text("{half a fi")


def test_a_reload_moves_the_watch_and_the_proxy_keeps_running(tmp_path: Path) -> None:
    asyncio.run(run_reload(tmp_path / "config.json"))
