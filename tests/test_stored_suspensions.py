"""The format of stored files: version f58f876 wrote it, and an older process of the same proxy may still use it.

The samples under `tests/samples` were written by that version's code; they must not be regenerated.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import pytest

from stoatgw.hot_restart.sibling_processes import ProcessRecord, SiblingProcesses
from stoatgw.suspension.store import SuspensionStore

SAMPLES = Path(__file__).parent / "samples"
SUSPENDED_FILE = "stoatgw-suspended"
SUSPENSIONS = {"s-5be2a07c": 1_764_652_800_000_000, 'ü/"1': 1_764_652_801_250_000, "a-first": 0}
RECORDS = [
    ("stoatgw-process-accepting.lock", ProcessRecord(True, 1_764_652_802_000_000, 4321)),
    ("stoatgw-process-waiting.lock", ProcessRecord(False, 1_764_652_803_000_000, 24)),
]


def test_an_older_versions_suspensions_are_read(tmp_path: Path) -> None:
    (tmp_path / SUSPENDED_FILE).write_bytes((SAMPLES / SUSPENDED_FILE).read_bytes())
    assert SuspensionStore(tmp_path).load() == SUSPENSIONS


def test_suspensions_are_written_as_an_older_version_wrote_them(tmp_path: Path) -> None:
    store = SuspensionStore(tmp_path)
    for server, since_us in SUSPENSIONS.items():
        store.suspend(server, since_us)
    assert (tmp_path / SUSPENDED_FILE).read_bytes() == (SAMPLES / SUSPENDED_FILE).read_bytes()
    assert sorted(path.name for path in tmp_path.iterdir()) == [SUSPENDED_FILE, f"{SUSPENDED_FILE}.lock"]


@pytest.mark.parametrize(("sample", "record"), RECORDS)
def test_an_older_versions_process_is_found(tmp_path: Path, sample: str, record: ProcessRecord) -> None:
    path = tmp_path / "stoatgw-process-1.lock"
    path.write_bytes((SAMPLES / sample).read_bytes())
    with path.open("r+b") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        assert SiblingProcesses(tmp_path).read_siblings() == [record]


@pytest.mark.parametrize(("sample", "record"), RECORDS)
def test_a_process_writes_its_record_as_an_older_version_did(
    tmp_path: Path, sample: str, record: ProcessRecord
) -> None:
    processes = SiblingProcesses(tmp_path)
    processes.join(record)
    path = tmp_path / f"stoatgw-process-{os.getpid()}.lock"
    assert [found.name for found in tmp_path.iterdir()] == [path.name]
    assert path.read_bytes() == (SAMPLES / sample).read_bytes()
    processes.leave()
