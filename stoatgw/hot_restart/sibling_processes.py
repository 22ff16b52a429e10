"""The live processes of this proxy: each keeps a locked file in the folder that they share.

A lock ends with its process, however that ends, so a process id used anew or a file left behind misleads nobody.
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
    """What a process publishes of itself in its locked file.

    Attributes:
        is_accepting: Whether it accepts clients.
        since_us: When it started or, once it accepts, when it began to (microseconds of Unix time).
        descriptors: How many it holds.
    """

    is_accepting: bool
    since_us: int
    descriptors: int

    def encode(self) -> bytes:
        """The record as its file holds it."""
        return _RECORD.pack(RECORD_VERSION, self.is_accepting, self.since_us, self.descriptors)

    @classmethod
    def decode(cls, data: bytes) -> ProcessRecord:
        """A file's record; one of another version, or half written, is of a process that does not accept yet."""
        if len(data) < _RECORD.size or not data.startswith(RECORD_VERSION):
            return cls(is_accepting=False, since_us=0, descriptors=0)
        _, is_accepting, since_us, descriptors = _RECORD.unpack(data)
        return cls(is_accepting, since_us, descriptors)


class SiblingProcesses:
    """This process's own locked file, and those of its siblings."""

    def __init__(self, folder: Path) -> None:
        """Prepare the files' names; `join` creates this process's own."""
        self._folder = folder
        self._own_path = folder / f"{FILE_PREFIX}{os.getpid()}{FILE_SUFFIX}"
        self._draft_path = self._own_path.with_suffix(".draft")
        self._descriptor: int | None = None

    def join(self, record: ProcessRecord) -> None:
        """Be visible to the siblings from now on.

        Raises:
            OSError: The file cannot be created or locked; none is left behind.
        """
        # Locked before it has its name: no sibling ever finds it unlocked.
        self._descriptor = os.open(self._draft_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.publish(record)
            self._draft_path.rename(self._own_path)
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
        """The records of the other live processes; files of those that have ended are removed.

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
        """Be visible no more; does nothing before `join`."""
        if self._descriptor is None:
            return
        with closing_descriptor(self._descriptor):
            self._descriptor = None
            for path in (self._own_path, self._draft_path):
                with contextlib.suppress(OSError):
                    path.unlink()


def _read_locked(path: Path) -> ProcessRecord | None:
    """The record in a file that a live process has locked; a file without a lock is removed."""
    with closing_descriptor(os.open(path, os.O_RDWR | os.O_CLOEXEC)) as descriptor:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return ProcessRecord.decode(os.pread(descriptor, _RECORD.size, 0))
        path.unlink(missing_ok=True)
        return None
