"""Sessions that the proxy itself ends, on real processes: no peer gets a partial line, and every client gets MOVE.

Guards against sessions lost in a drain of the proxy or a suspension of a session server: the migration was decided
between two lines, but the server's bytes were still forwarded until the session's tasks were cancelled, some event loop
iterations later. `MOVE` was sent after a partial line, so the client read one corrupted line and no `MOVE`.

The test uses servers that answer in pieces and clients that keep sending. Without the fix, the data that clients
receive ends with the first piece of a reply and `MOVE` in one line, within a second of a drain or a suspension.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.conversation_rig import SERVER_NAMES, ConversationRig, conversation_rig

SESSIONS = 48


async def drain(rig: ConversationRig, _process: asyncio.subprocess.Process, port: int) -> None:
    assert await rig.send_operation(port, "/v1/proxy/drain") == 200


async def suspend_all_servers(rig: ConversationRig, _process: asyncio.subprocess.Process, port: int) -> None:
    for server in SERVER_NAMES:
        assert await rig.send_operation(port, f"/v1/session-servers/{server}/suspend") == 200


async def terminate(_rig: ConversationRig, process: asyncio.subprocess.Process, _port: int) -> None:
    process.send_signal(signal.SIGTERM)


async def replace_process(rig: ConversationRig, process: asyncio.subprocess.Process, _port: int) -> None:
    await rig.start_process()
    process.send_signal(signal.SIGTERM)


EndSessions = Callable[[ConversationRig, asyncio.subprocess.Process, int], Awaitable[None]]


@pytest.mark.parametrize("servers_stall", [False, True])
@pytest.mark.parametrize("end_sessions", [drain, suspend_all_servers, terminate, replace_process])
def test_sessions_that_the_proxy_ends_get_move_between_two_lines(
    end_sessions: EndSessions, servers_stall: bool, tmp_path: Path
) -> None:
    async def run_sessions() -> None:
        async with conversation_rig(tmp_path) as rig:
            process, port = await rig.start_process()
            await rig.start_sessions(SESSIONS)
            if servers_stall:
                await rig.stall_servers()
            await end_sessions(rig, process, port)
            assert await rig.wait_for_ends() == []
        ends = [event for event in rig.log if event["event"] == "session_ended" and event["was_established"]]
        assert [(end["reason"], end["answer"]) for end in ends] == [("migrated", "MOVE")] * SESSIONS
        assert all(end["why"] for end in ends)

    asyncio.run(run_sessions())
