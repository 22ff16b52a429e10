"""Request ids that two processes of one proxy have taken: each runs once, whichever process it comes to."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
from pathlib import Path

import pytest

from stoatgw.hot_restart import shared_request_ids
from stoatgw.hot_restart.shared_request_ids import FILE_NAME, RECORD_BYTES, SharedRequestIds
from stoatgw.telemetry.log import EventLog
from tests.test_hot_restart import Platform, open_line


def make_ids(folder: Path) -> SharedRequestIds:
    ids = SharedRequestIds(folder, EventLog("test"))
    ids.load()
    return ids


def request_id(number: int) -> str:
    return f"{number:016x}"


@pytest.mark.parametrize("order", ["old first", "new first", "old between the write and the read of new"])
def test_of_two_processes_that_take_one_id_the_first_runs_it(
    order: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an id that runs twice when it comes to both processes of an upgrade, in each order of their steps.
    old, new = make_ids(tmp_path), make_ids(tmp_path)
    taken: list[str] = []

    def claim_by_old() -> None:
        if not taken:
            taken.append("old" if old.claim(request_id(1)) else "refused")

    if order == "old first":
        claim_by_old()
    write = os.write

    def write_and_cross(descriptor: int, data: bytes) -> int:
        count = write(descriptor, data)
        monkeypatch.setattr(os, "write", write)
        if order.startswith("old between"):
            claim_by_old()
        return count

    monkeypatch.setattr(os, "write", write_and_cross)
    is_taken_by_new = new.claim(request_id(1))
    monkeypatch.setattr(os, "write", write)
    claim_by_old()
    assert [is_taken_by_new, taken == ["old"]] == ([False, True] if order == "old first" else [True, False])
    assert not make_ids(tmp_path).claim(request_id(1))  # a later process refuses it, after a kill as well


def test_a_record_that_was_cut_off_hides_no_other_one(tmp_path: Path) -> None:
    for size in range(RECORD_BYTES):
        folder = tmp_path / str(size)
        folder.mkdir()
        (folder / FILE_NAME).write_bytes((request_id(7).encode() + b" 0123abcd\n")[:size])
        old, new = make_ids(folder), make_ids(folder)
        assert old.claim(request_id(1))
        assert not new.claim(request_id(1))
        assert new.claim(request_id(2))


def test_ids_are_kept_while_the_file_is_replaced_by_a_shorter_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept = 8
    monkeypatch.setattr(shared_request_ids, "KEPT_BYTES", kept * RECORD_BYTES)
    monkeypatch.setattr(shared_request_ids, "MAX_FILE_BYTES", 2 * kept * RECORD_BYTES)
    processes = [make_ids(tmp_path), make_ids(tmp_path)]
    for number in range(200):
        assert processes[number % 2].claim(request_id(number))
        assert not processes[1 - number % 2].claim(request_id(number))
        newest = range(max(0, number - kept // 2 + 1), number + 1)  # each was recorded by both processes
        later = make_ids(tmp_path)
        assert not any(later.claim(request_id(each)) for each in newest)
        assert (tmp_path / FILE_NAME).stat().st_size <= 4 * kept * RECORD_BYTES


def test_requests_are_served_while_the_file_cannot_be_written(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail_with_disk_full(descriptor: int, data: bytes) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    old, new = make_ids(tmp_path), make_ids(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", fail_with_disk_full)
        assert old.claim(request_id(1))
    assert old.claim(request_id(2))
    assert not new.claim(request_id(2))
    assert make_ids(tmp_path / "missing").claim(request_id(3))


@pytest.mark.parametrize("is_killed", [False, True])
def test_an_id_of_a_client_that_left_does_not_run_again_at_the_next_process(tmp_path: Path, is_killed: bool) -> None:
    # Guards against issue 59, picture (c): 40 of 40 ids that the old process had taken ran again at the new one.
    async def run(platform: Platform) -> None:
        await platform.start_services()
        old, port = await platform.start_process()
        await platform.wait_for_readiness(port)
        for number in range(1, 21):
            answer, _, writer = await platform.send_line(open_line(number))
            assert answer.startswith(b"UP")
            writer.close()
        new, port = await platform.start_process()
        await platform.wait_for_readiness(port)
        if is_killed:
            old.kill()
        else:
            old.send_signal(signal.SIGTERM)
        await old.wait()
        answers = [(await platform.send_line(open_line(number)))[0] for number in range(1, 21)]
        assert answers == [b"ERR the id came before\r\n"] * 20
        assert (await platform.send_line(open_line(21)))[0].startswith(b"UP")
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0

    async def run_in_time(listening_socket: socket.socket) -> None:
        platform = Platform(tmp_path, listening_socket)
        try:
            async with asyncio.timeout(40):
                await run(platform)
        finally:
            for process in platform.processes:
                if process.returncode is None:
                    process.kill()

    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        asyncio.run(run_in_time(listening_socket))
