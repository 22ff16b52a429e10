"""Suspensions of two processes that change or read their shared file at the same time, in each order of their steps."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import threading
from pathlib import Path
from typing import Any

import pytest

from stoatgw.suspension.applier import SuspensionApplier
from stoatgw.suspension.service import SuspensionNotPersistedError
from stoatgw.suspension.store import FILE_NAME, LOCK_TIMEOUT_S, SuspensionStore
from tests.proxy_rig import ProxyRig
from tests.test_discovery import entry, page
from tests.test_stored_endpoints import make_store, store_pages
from tests.test_suspension import SuspendingProcess, with_event_loop

CROSSED_CALLS = 2
APPLY_TIMEOUT_S = 3.0  # the operators' grace for a draining server; a process polls the file every 0.2 s


def suspended(process: SuspendingProcess) -> set[str]:
    """Return the servers that a process does not use after its next poll."""
    process.service.poll()
    return set(process.applier.overrides.suspensions)


def fail_without_descriptor(self: Path, mode: str) -> None:
    raise OSError(errno.EMFILE, "Too many open files")


def fail_with_disk_full(self: Path, data: bytes) -> int:
    raise OSError(errno.ENOSPC, "No space left on device")


@with_event_loop
def test_a_suspension_that_could_not_be_saved_outlasts_the_changes_of_another_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a server that returns to service although no operator has resumed it.
    first = SuspendingProcess(tmp_path)
    second = SuspendingProcess(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(Path, "write_bytes", fail_with_disk_full)
        with pytest.raises(SuspensionNotPersistedError, match="No space"):
            first.service.suspend("s-1")
    second.service.suspend("s-2")
    assert suspended(first) == {"s-1", "s-2"}
    first.service.resume("s-1")
    assert suspended(first) == {"s-2"}


@with_event_loop
def test_a_change_whose_reading_failed_once_is_read_at_the_next_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process without a free descriptor, or on a failing disk, that never reads the change again.
    first = SuspendingProcess(tmp_path)
    second = SuspendingProcess(tmp_path)
    second.service.suspend("s-1")
    with monkeypatch.context() as patch:
        patch.setattr(Path, "open", fail_without_descriptor)
        assert suspended(first) == set()
    assert suspended(first) == {"s-1"}


@with_event_loop
def test_an_endpoint_list_whose_reading_failed_once_is_read_at_the_next_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a new process that misses, while discovery is down, what the old one was told.
    new = make_store(tmp_path)
    assert new.load_changed(None) is None
    store_pages(tmp_path, page(entry()))
    with monkeypatch.context() as patch:
        patch.setattr(Path, "open", fail_without_descriptor)
        assert new.load_changed(None) is None
    assert new.load_changed(None)["generation"] == 41


@with_event_loop
def test_a_process_that_stands_still_in_a_write_does_not_stop_the_other_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an event loop, with all its clients, that waits for the lock of a process that is stopped.
    first = SuspendingProcess(tmp_path)
    lock = (tmp_path / f"{FILE_NAME}.lock").open("w")
    fcntl.flock(lock, fcntl.LOCK_EX)
    release = threading.Timer(8 * LOCK_TIMEOUT_S, lock.close)  # without the fix the test fails instead of waiting
    release.start()
    with pytest.raises(SuspensionNotPersistedError, match="does not release"):
        first.service.suspend("s-1")
    assert suspended(first) == {"s-1"}
    release.cancel()
    lock.close()
    first.service.suspend("s-1")
    assert suspended(SuspendingProcess(tmp_path)) == {"s-1"}


STEPS = [
    (SuspensionStore, "version"),
    (SuspensionStore, "load"),
    (SuspensionStore, "suspend"),
    (SuspensionStore, "resume"),
    (SuspensionApplier, "apply"),
]


@pytest.mark.parametrize("is_before", [True, False])
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("crossing", ["suspend", "resume"])
@pytest.mark.parametrize("change", ["suspend", "resume", "poll"])
def test_a_change_of_another_process_between_two_steps_is_applied(
    change: str,
    crossing: str,
    step: tuple[type, str],
    is_before: bool,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a process that takes another one's change to the file for applied without having read it.
    @with_event_loop
    def run(folder: Path, patches: pytest.MonkeyPatch) -> None:
        first = SuspendingProcess(folder)
        second = SuspendingProcess(folder)
        for server in ("s-0", "s-2"):
            second.service.suspend(server)
        first.service.poll()
        second.service.suspend("s-3")
        remaining = ["s-2"] if crossing == "resume" else ["s-4"]
        owner, name = step
        original = getattr(owner, name)

        def cross() -> None:
            if remaining:
                getattr(second.service, crossing)(remaining.pop())

        def crossed_step(target: Any, *arguments: Any, **options: Any) -> Any:
            is_locked = name == "load" and change != "poll"  # the other process waits until the lock is released
            is_first = target in (first.applier, first.service._store) and not is_locked
            if is_first and is_before:
                cross()
            result = original(target, *arguments, **options)
            if is_first and not is_before:
                cross()
            return result

        patches.setattr(owner, name, crossed_step)
        if change == "poll":
            first.service.poll()
        else:
            getattr(first.service, change)("s-1" if change == "suspend" else "s-0")
        patches.undo()
        cross()  # where the change has no such step, the other one follows it
        expected = {"s-0", "s-2", "s-3"}
        expected = expected | {"s-1"} if change == "suspend" else expected
        expected = expected - {"s-0"} if change == "resume" else expected
        expected = expected - {"s-2"} if crossing == "resume" else expected | {"s-4"}
        assert suspended(first) == expected
        assert suspended(second) == expected

    run(tmp_path, monkeypatch)


class HealthyServersRig(ProxyRig):
    """Session servers that answer health checks; the test sends no request."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readline():
            writer.write(b"PONG\r\n")
        writer.close()


def test_two_servers_suspended_at_once_at_two_real_processes_stay_suspended_at_both(tmp_path: Path) -> None:
    # Guards against review case 9: each process pauses after its write, and the other one writes in that time.
    async def run() -> None:
        rig = HealthyServersRig(tmp_path)
        await rig.start_services(["s-0", "s-1", "s-2"])
        async with rig.running():
            ports = [(await rig.start_process(["tests.paused_suspensions"]))[1] for _ in range(2)]
            for _ in range(CROSSED_CALLS):
                calls = (
                    rig.send_operation(port, f"/v1/session-servers/{server}/suspend")
                    for port, server in zip(ports, ("s-0", "s-2"), strict=True)
                )
                assert await asyncio.gather(*calls) == [200, 200]
                for port in ports:
                    await wait_for_suspensions(rig, port, 2)
                for server in ("s-0", "s-2"):
                    assert await rig.send_operation(ports[0], f"/v1/session-servers/{server}/resume") == 200
                for port in ports:
                    await wait_for_suspensions(rig, port, 0)

    asyncio.run(run())


async def wait_for_suspensions(rig: ProxyRig, port: int, count: int) -> None:
    """Wait until a process uses all servers but this many; it polls the file five times a second."""
    expected = f"proxy.targets_disabled:{count}|g"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while expected not in await rig.read_metrics(port):
                await asyncio.sleep(0.02)
    assert expected in await rig.read_metrics(port)
