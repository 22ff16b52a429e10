"""A peer ends its connection, in whatever way: the other side is told at once, and nothing of the session is left.

The failure: in a deployment trial with injected faults, clients were left waiting on sessions that their session
servers had ended. Some had read `BYE` and waited for the end behind it; others saw nothing at all. Nothing was in the
log, and the proxy held the sessions until its own shutdown sent their clients away with `MOVE`.

The cause: the reader of a connection asked the event loop once to watch it, for all its reads. When a connection
breaks, the loop tells a watch once, and drops it. Where a reset came in one turn of the loop with `BYE`, the reader
was told once for both, read `BYE`, and waited for a second time that could not come. Where no bytes preceded the
reset, it was enough that the read failed for a moment just then.

The evidence: a process that is held up while its peers write and reset their connections loses the ends of just these
sessions, and of no others; with a watch for each read it loses none.

A second failure came with the repair: in one run of CI the last lines of two clients that had reset their connections
did not reach their servers. A send to the server had failed for want of memory and waited 20 ms for its repeat; a check
of the session monitor, due each 250 ms, fell into that time and took the server for one that takes nothing. So the
calls that fail are played with a monitor that checks all the time.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peer_disconnect_rig import PeerDisconnectRig

SERVER_NAMES = [f"s-{number}" for number in range(8)]
FREQUENT_MONITOR_INTERVAL_S = "0.002"  # a call that fails once is repeated after 20 ms


def play(folder: Path, failing_call: str, *options: str, loses_bytes: bool = False) -> list[str]:
    """Plays all cases with one call that fails once on each connection; what was wrong."""

    async def test() -> list[str]:
        rig = PeerDisconnectRig(folder)
        await rig.start_services(SERVER_NAMES)
        async with rig.running():
            process, _ = await rig.start_process(["tests.failing_calls", failing_call, *options])
            return await rig.play(process, loses_bytes=loses_bytes)

    return asyncio.run(test())


def test_an_end_is_passed_on_whatever_precedes_it(tmp_path: Path) -> None:
    assert play(tmp_path, "none") == []


@pytest.mark.parametrize("error", ["EINTR", "EAGAIN", "ENOBUFS", "ENOMEM"])
@pytest.mark.parametrize("call", ["recv", "send", "shutdown"])
def test_an_end_is_passed_on_though_a_call_fails_once(call: str, error: str, tmp_path: Path) -> None:
    assert play(tmp_path, f"{call}:{error}", FREQUENT_MONITOR_INTERVAL_S) == []


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH"])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_connection_that_breaks_for_good_is_passed_on(call: str, error: str, tmp_path: Path) -> None:
    assert play(tmp_path, f"{call}:{error}", FREQUENT_MONITOR_INTERVAL_S, loses_bytes=True) == []
