"""Suspensions of two processes that change or read their shared file at the same time, in each order of their steps."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from stoatgw.suspension.service import SuspensionNotPersistedError
from tests.test_suspension import SuspendingProcess, with_event_loop


def suspended(process: SuspendingProcess) -> set[str]:
    """Return the servers that a process does not use after its next poll."""
    process.service.poll()
    return set(process.applier.overrides.suspensions)


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
