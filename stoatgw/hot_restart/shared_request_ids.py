"""The request ids that the processes of one proxy have taken, in a file to which each of them appends.

The system orders the appended records, so that no lock is needed: of two processes that take one id at the same moment,
the second finds the record of the first before its own. A process that stands still, or is killed in the middle of a
record, hinders no other one.
"""

from __future__ import annotations

import errno
import fcntl
import os
import re
import secrets
from pathlib import Path

from stoatgw.atomic_file import closing_descriptor, write_atomically
from stoatgw.clients.recent_ids import MAX_ENDED_IDS, BoundedIds
from stoatgw.telemetry.log import EventLog

FILE_NAME = "stoatgw-request-ids"
PROCESS_TAG_BYTES = 4
RECORD_BYTES = 26  # the id, a space, the process's tag in hex, and the end of the line
KEPT_BYTES = MAX_ENDED_IDS * RECORD_BYTES
MAX_FILE_BYTES = 2 * KEPT_BYTES
MAX_APPEND_ATTEMPTS = 3  # a file system may give an open file and its path different inode numbers
_RECORD = re.compile(rb"([0-9a-fA-F]{16}) ([0-9a-f]{8})\n")  # found also behind a record that was cut off


class SharedRequestIds:
    """The shared file, and the ids that other processes have taken; implements `SharedIds`.

    While the file cannot be written, ids are taken for this process alone, which is logged.
    """

    def __init__(self, folder: Path, log: EventLog) -> None:
        """Prepare the file's name; `load` reads it."""
        self._path = folder / FILE_NAME
        self._lock_path = folder / f"{FILE_NAME}.lock"
        self._log = log
        self._process_tag = secrets.token_hex(PROCESS_TAG_BYTES).encode()
        self._descriptor: int | None = None
        self._inode = 0
        self._read_bytes = 0  # how much of the file has been read
        self._taken = BoundedIds(MAX_ENDED_IDS)
        self._last_failure = ""

    def load(self) -> None:
        """Read the ids that earlier processes have taken."""
        try:
            descriptor = self._open()
            self._read_until(os.fstat(descriptor).st_size, descriptor)
        except OSError as error:
            self._log_once(error)

    def claim(self, request_id: str) -> bool:
        """Take an id for this process; return False if another process has taken it before."""
        if request_id in self._taken:
            return False
        try:
            self._append(b"%s %s\n" % (request_id.encode(), self._process_tag))
            if self._read_bytes > MAX_FILE_BYTES:
                self._compact()
        except OSError as error:
            self._log_once(error)
        else:
            self._last_failure = ""
        return request_id not in self._taken

    def close(self) -> None:
        """Close the file; the next call opens it again."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _open(self) -> int:
        if self._descriptor is None:
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self._inode = os.fstat(self._descriptor).st_ino
            self._read_bytes = 0
        return self._descriptor

    def _append(self, record: bytes) -> None:
        """Append a record to the current file, and read what other processes have appended before it."""
        for _ in range(MAX_APPEND_ATTEMPTS):
            descriptor = self._open()
            if os.write(descriptor, record) != len(record):
                raise OSError(errno.ENOSPC, "a record was cut off")
            self._read_until(os.lseek(descriptor, 0, os.SEEK_CUR), descriptor)
            if self._is_current():
                return
            self.close()  # another process has replaced the file since
        raise OSError(errno.ESTALE, "the file is replaced again and again")

    def _is_current(self) -> bool:
        try:
            return self._path.stat().st_ino == self._inode
        except FileNotFoundError:
            return False

    def _read_until(self, end: int, descriptor: int) -> None:
        data = os.pread(descriptor, end - self._read_bytes, self._read_bytes)
        self._read_bytes = end
        for request_id, process_tag in _RECORD.findall(data):
            if process_tag != self._process_tag:
                self._taken.add(request_id.decode())

    def _compact(self) -> None:
        """Replace the file by its newest records, unless another process is doing that."""
        lock = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        with closing_descriptor(lock):
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return
            if not self._is_current():
                return
            descriptor = self._open()
            write_atomically(self._path, os.pread(descriptor, KEPT_BYTES, self._read_bytes - KEPT_BYTES))
            # What others have appended to the old file meanwhile; they find that it was replaced with their next id.
            late_records = os.pread(descriptor, MAX_FILE_BYTES, self._read_bytes)
            self.close()
            if late_records:
                os.write(self._open(), late_records)

    def _log_once(self, error: OSError) -> None:
        """Log a failure that recurs with each request only once while it lasts."""
        if self._last_failure != str(error):
            self._last_failure = str(error)
            self._log.event("request_ids_write_failed", error=str(error))
