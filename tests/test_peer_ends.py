"""A peer ends its connection, in any way: the other side is notified immediately, and the session leaks nothing.

Guards against sessions that stay open after their server has closed them, with nothing in the log. Each reader had one
event loop watch for all its reads, and when a connection breaks, the loop notifies a watch once and drops it. If a
reset was received in the same loop iteration as `BYE`, or a read failed with a transient error at that moment, the
reader waited for a second notification that never came. Stopping the process while its peers write and reset their
connections reproduces this for exactly these sessions; with one watch per read no session is affected.

Also guards against lost last lines of clients that have reset their connections. A send to the server had failed for
lack of memory and waited 20 ms for its retry, and a check of the session monitor, due every 250 ms, considered the
server as not reading. So the tests with failing calls run with a monitor that checks all the time.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peer_disconnect_rig import PeerDisconnectRig

SERVER_NAMES = [f"s-{number}" for number in range(8)]
FREQUENT_MONITOR_INTERVAL_S = "0.002"  # a call that fails once is retried after 20 ms


def run_cases(folder: Path, failing_call: str, *options: str, loses_data: bool = False) -> list[str]:
    """Run all cases with one call that fails once on each connection; return the failures."""

    async def test() -> list[str]:
        rig = PeerDisconnectRig(folder)
        await rig.start_services(SERVER_NAMES)
        async with rig.running():
            process, _ = await rig.start_process(["tests.failing_calls", failing_call, *options])
            return await rig.run_cases(process, loses_data=loses_data)

    return asyncio.run(test())


def test_a_disconnection_is_propagated_whatever_precedes_it(tmp_path: Path) -> None:
    assert run_cases(tmp_path, "none") == []


@pytest.mark.parametrize("error", ["EINTR", "EAGAIN", "ENOBUFS", "ENOMEM"])
@pytest.mark.parametrize("call", ["recv", "send", "shutdown"])
def test_a_disconnection_is_propagated_even_if_a_call_fails_once(call: str, error: str, tmp_path: Path) -> None:
    assert run_cases(tmp_path, f"{call}:{error}", FREQUENT_MONITOR_INTERVAL_S) == []


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH"])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_permanently_broken_connection_is_propagated(call: str, error: str, tmp_path: Path) -> None:
    assert run_cases(tmp_path, f"{call}:{error}", FREQUENT_MONITOR_INTERVAL_S, loses_data=True) == []
