"""The bans in one small file: versioned, checksummed, written whole, renamed into place, changed under a lock."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import orjson

from stoatgw.atomic_file import frame, unframe, write_atomically
from stoatgw.suspension.overrides import Suspensions

NAME = "stoatgw-suspended"
HEAD = b"stoatgw-suspended 1 "  # its version; the checksum of the rest follows
SIZE_MOST = 1 << 20


class SuspensionStoreError(Exception):
    """The file cannot be read or written; the message names it and says why."""


def encode(bans: Suspensions) -> bytes:
    body = orjson.dumps(dict(bans), option=orjson.OPT_SORT_KEYS)
    return frame(HEAD, body)


def decode(data: bytes) -> dict[str, int]:
    """Raises ValueError."""
    bans = orjson.loads(unframe(HEAD, data, "is none of ours"))
    if not isinstance(bans, dict) or not all(type(since_us) is int for since_us in bans.values()):
        raise ValueError("holds no bans")
    return bans


class SuspensionStore:
    def __init__(self, folder: Path) -> None:
        self._path, self._lock = folder / NAME, folder / f"{NAME}.lock"

    def seen(self) -> tuple[int, int, int] | None:
        """Changes whenever the file does; None without one."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def load(self) -> dict[str, int]:
        """Raises StoreError. No file: no bans."""
        try:
            with self._path.open("rb") as file:
                return decode(file.read(SIZE_MOST))
        except FileNotFoundError:
            return {}
        except OSError as fault:
            raise SuspensionStoreError(f"{self._path.name}: cannot be read: {fault.strerror}") from None
        except ValueError as fault:
            raise SuspensionStoreError(f"{self._path.name}: {fault}") from None

    def change(self, name: str, since_us: int | None) -> dict[str, int]:
        """Ban a server since then, or (None) no longer; gives all bans. Raises StoreError, with nothing changed."""
        try:
            lock = os.open(self._lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as fault:
            raise SuspensionStoreError(f"{self._lock.name}: {fault.strerror}") from None
        try:
            # Another process of this proxy may change it as well; each holds the lock for one small write.
            fcntl.flock(lock, fcntl.LOCK_EX)
            bans = self.load()
            if since_us is None:
                bans.pop(name, None)
            else:
                bans.setdefault(name, since_us)
            self._write(encode(bans))
            return bans
        finally:
            os.close(lock)

    def _write(self, data: bytes) -> None:
        try:
            write_atomically(self._path, data)
        except OSError as fault:
            raise SuspensionStoreError(f"{self._path.name}: cannot be written: {fault.strerror}") from None
