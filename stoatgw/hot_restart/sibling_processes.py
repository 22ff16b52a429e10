"""Which processes of this proxy live: each keeps a locked file in the folder that they share.

A lock goes with its process however that ends, so a number used anew or a file left behind deceives nobody.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
from dataclasses import dataclass
from pathlib import Path

PREFIX, SUFFIX = "stoatgw-process-", ".lock"
RECORD = struct.Struct("<8s?qI")  # version, accepts, since when (us), descriptors held
VERSION = b"stoatgw1"


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    is_accepting: bool  # it takes clients
    since_us: int  # when it began, or began to take clients
    descriptors: int  # descriptors


class SiblingProcesses:
    def __init__(self, folder: Path) -> None:
        self._folder, self._own = folder, folder / f"{PREFIX}{os.getpid()}{SUFFIX}"
        self._fd = -1

    def join(self, peer: ProcessRecord) -> None:
        """Be seen from now on. Raises OSError."""
        draft = self._own.with_suffix(".draft")
        # Locked before it has its name: another process never meets it unlocked.
        self._fd = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.publish(peer)
            draft.rename(self._own)
        except OSError:
            self.leave()
            raise

    def publish(self, peer: ProcessRecord) -> None:
        """Raises OSError."""
        if self._fd >= 0:
            os.pwrite(self._fd, RECORD.pack(VERSION, peer.is_accepting, peer.since_us, peer.descriptors), 0)

    def others(self) -> list[ProcessRecord]:
        """Those that live beside this one; files that nobody locks are taken away. Raises OSError."""
        found = []
        for path in self._folder.glob(f"{PREFIX}*{SUFFIX}"):
            if path != self._own:
                with contextlib.suppress(FileNotFoundError):
                    peer = self._look(path)
                    if peer is not None:
                        found.append(peer)
        return found

    def _look(self, path: Path) -> ProcessRecord | None:
        fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            data = os.pread(fd, RECORD.size, 0)
            if len(data) < RECORD.size or not data.startswith(VERSION):
                return ProcessRecord(False, 0, 0)  # another version, or half written: it lives, and takes nothing yet
            _, ready, since_us, held = RECORD.unpack(data)
            return ProcessRecord(ready, since_us, held)
        else:
            path.unlink(missing_ok=True)
            return None
        finally:
            os.close(fd)

    def leave(self) -> None:
        """Be seen no more."""
        if self._fd >= 0:
            for path in (self._own, self._own.with_suffix(".draft")):
                with contextlib.suppress(OSError):
                    path.unlink()
            os.close(self._fd)
            self._fd = -1
