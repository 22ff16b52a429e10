"""Finds the live processes of this proxy: each keeps a locked file in the folder that they share.

A process's lock is released when the process ends, in whatever way. A reused process id or a stale file is therefore
never mistaken for a live process.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
from dataclasses import dataclass
from pathlib import Path

from stoatgw.atomic_file import closing_descriptor

FILE_PREFIX = "stoatgw-process-"
FILE_SUFFIX = ".lock"
RECORD_VERSION = b"stoatgw1"
_RECORD = struct.Struct("<8s?qI")  # version, is_accepting, since_us, descriptors


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """The state that a process publishes in its locked file.

    Attributes:
        is_accepting: Whether it accepts client connections.
        since_us: When it started or, once it accepts, when it began to accept (microseconds of Unix time).
        descriptors: Number of file descriptors that it has open.
    """

    is_accepting: bool
    since_us: int
    descriptors: int

    def encode(self) -> bytes:
        """Encode the record for its file."""
        return _RECORD.pack(RECORD_VERSION, self.is_accepting, self.since_us, self.descriptors)

    @classmethod
    def decode(cls, data: bytes) -> ProcessRecord:
        """Decode a file's record; one that is incomplete or of another version counts as not accepting."""
        if len(data) < _RECORD.size or not data.startswith(RECORD_VERSION):
            return cls(is_accepting=False, since_us=0, descriptors=0)
        _, is_accepting, since_us, descriptors = _RECORD.unpack(data)
        return cls(is_accepting, since_us, descriptors)


class SiblingProcesses:
    """The locked files of this process and of its siblings."""

    def __init__(self, folder: Path) -> None:
        """Prepare the file names; `join` creates this process's file."""
        self._folder = folder
        self._own_path = folder / f"{FILE_PREFIX}{os.getpid()}{FILE_SUFFIX}"
        self._temporary_path = self._own_path.with_suffix(".draft")
        self._descriptor: int | None = None

    def join(self, record: ProcessRecord) -> None:
        """Create this process's locked file, by which the siblings find it.

        Raises:
            OSError: The file cannot be created or locked; no file is left behind.
        """
        # The file is locked before it is renamed to its final name, so that no sibling ever finds it unlocked.
        self._descriptor = os.open(self._temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.publish(record)
            self._temporary_path.rename(self._own_path)
        except OSError:
            self.leave()
            raise

    def publish(self, record: ProcessRecord) -> None:
        """Replace this process's record, if it has joined.

        Raises:
            OSError: The record cannot be written.
        """
        if self._descriptor is not None:
            os.pwrite(self._descriptor, record.encode(), 0)

    def read_siblings(self) -> list[ProcessRecord]:
        """Return the records of the other live processes; remove the files of those that have ended.

        Raises:
            OSError: A file cannot be read.
        """
        siblings = []
        for path in self._folder.glob(f"{FILE_PREFIX}*{FILE_SUFFIX}"):
            if path == self._own_path:
                continue
            with contextlib.suppress(FileNotFoundError):
                record = _read_locked(path)
                if record is not None:
                    siblings.append(record)
        return siblings

    def leave(self) -> None:
        """Remove this process's file; do nothing before `join`."""
        if self._descriptor is None:
            return
        with closing_descriptor(self._descriptor):
            self._descriptor = None
            for path in (self._own_path, self._temporary_path):
                with contextlib.suppress(OSError):
                    path.unlink()


def _read_locked(path: Path) -> ProcessRecord | None:
    """Return the record in a file that a live process has locked; remove a file that is not locked."""
    with closing_descriptor(os.open(path, os.O_RDWR | os.O_CLOEXEC)) as descriptor:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return ProcessRecord.decode(os.pread(descriptor, _RECORD.size, 0))
        path.unlink(missing_ok=True)
        return None
