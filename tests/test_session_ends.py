"""Sessions that the proxy itself ends, on real processes: nobody is left with half a line, and every client gets MOVE.

The failure: users of two deployment trials lost their sessions in the middle of an exercise. In one, staff had drained
the proxy; in the other, they had suspended the session server. A client's line had just arrived, and the server had
written half of its reply. The proxy then ended both connections, though client and server were sound.

The cause: a migration was decided on between two lines, but the server's bytes went on being forwarded until the
session's tasks were cancelled, some turns of the event loop later. `MOVE` was sent behind half a line, so that the
client read a line that nobody had written, and saw its connection end without a `MOVE`.

The evidence: with servers that answer in pieces and clients that keep sending, what clients received ends with the
first piece of a reply and `MOVE` in one line. A drain and a suspension each show it within a second.
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
def test_sessions_that_the_proxy_ends_are_moved_between_two_lines(
    end_sessions: EndSessions, servers_stall: bool, tmp_path: Path
) -> None:
    async def play() -> None:
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

    asyncio.run(play())
