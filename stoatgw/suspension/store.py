"""The operators' suspensions in one small file: versioned, checksummed, replaced atomically, changed under a lock."""

from __future__ import annotations

import fcntl
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import orjson

from stoatgw.atomic_file import FileVersion, closing_descriptor, frame, unframe, write_atomically
from stoatgw.suspension.overrides import Suspensions

FILE_NAME = "stoatgw-suspended"
HEADER = b"stoatgw-suspended 1 "  # the file's kind and version, followed by the checksum of the body
MAX_FILE_BYTES = 1 << 20
LOCK_TIMEOUT_S = 0.25  # longer than a process may be held up between two steps
LOCK_RETRY_INTERVAL_S = 0.001


class SuspensionStoreError(Exception):
    """The suspensions cannot be read or written.

    Attributes:
        file: The file's name, without its folder.
        reason: Why it cannot be read or written.
    """

    def __init__(self, file: str, reason: str) -> None:
        super().__init__(f"{file}: {reason}")
        self.file = file
        self.reason = reason


def encode(suspensions: Suspensions) -> bytes:
    """Encode suspensions as the bytes of the file."""
    body = orjson.dumps(dict(suspensions), option=orjson.OPT_SORT_KEYS)
    return frame(HEADER, body)


def decode(data: bytes) -> dict[str, int]:
    """Decode the suspensions from the bytes of the file.

    Raises:
        ValueError: The bytes are not a suspensions file, or are damaged.
    """
    suspensions = orjson.loads(unframe(HEADER, data, "is none of ours"))
    if not isinstance(suspensions, dict) or not all(type(since_us) is int for since_us in suspensions.values()):
        raise ValueError("holds no bans")
    return suspensions


class SuspensionStore:
    """The shared file, which another process of this proxy may change at any time."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._lock_path = folder / f"{FILE_NAME}.lock"

    def version(self) -> FileVersion | None:
        """Return the identity of the file's current state; None if there is no file."""
        return FileVersion.of(self._path)

    def load(self) -> dict[str, int]:
        """Return all suspensions; none if there is no file.

        Raises:
            SuspensionStoreError: The file cannot be read; it is left unchanged.
        """
        try:
            with self._path.open("rb") as file:
                return decode(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return {}
        except OSError as error:
            raise SuspensionStoreError(self._path.name, f"cannot be read: {error.strerror}") from error
        except ValueError as error:
            raise SuspensionStoreError(self._path.name, str(error)) from error

    def suspend(self, server: str, since_us: int) -> dict[str, int]:
        """Add a server, unless it is suspended already; return all suspensions.

        Raises:
            SuspensionStoreError: The file cannot be read or written; nothing has changed.
        """
        with self._locked_update() as suspensions:
            suspensions.setdefault(server, since_us)
        return suspensions

    def resume(self, server: str) -> dict[str, int]:
        """Remove a server, if it is suspended; return all suspensions.

        Raises:
            SuspensionStoreError: The file cannot be read or written; nothing has changed.
        """
        with self._locked_update() as suspensions:
            suspensions.pop(server, None)
        return suspensions

    @contextmanager
    def _locked_update(self) -> Iterator[dict[str, int]]:
        """Load all suspensions under a lock and write them back after the block.

        Other processes wait only for that one small write, and not for a process that stands still in it.
        """
        try:
            lock = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise SuspensionStoreError(self._lock_path.name, str(error.strerror)) from error
        with closing_descriptor(lock):
            self._acquire(lock)
            suspensions = self.load()
            yield suspensions
            self._write(suspensions)

    def _acquire(self, lock: int) -> None:
        """Lock the file; the event loop waits meanwhile, so that the wait is short."""
        waited_s = 0.0
        while True:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if waited_s >= LOCK_TIMEOUT_S:
                    reason = "another process does not release its lock"
                    raise SuspensionStoreError(self._lock_path.name, reason) from None
                time.sleep(LOCK_RETRY_INTERVAL_S)
                waited_s += LOCK_RETRY_INTERVAL_S
            else:
                return

    def _write(self, suspensions: Suspensions) -> None:
        try:
            write_atomically(self._path, encode(suspensions))
        except OSError as error:
            raise SuspensionStoreError(self._path.name, f"cannot be written: {error.strerror}") from error
