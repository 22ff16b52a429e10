"""The endpoint list that discovery told this proxy, in a file from which the proxy's next process starts.

The platform's copy of the list, with which a process is configured, may be older than what an earlier process of the
proxy has been told. All processes of the proxy share the file. It is versioned, checksummed and replaced atomically.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from stoatgw.atomic_file import FileVersion, closing_descriptor, frame, unframe, write_atomically
from stoatgw.decisions.interface import EndpointUpdateKind
from stoatgw.telemetry.log import EventLog

FILE_NAME = "stoatgw-endpoints"
HEADER = b"stoatgw-endpoints 1 "  # the file's kind and version, followed by the checksum of the body
MAX_FILE_BYTES = 1 << 24
REMOVED = "DELETED"
UNURGENT_FIELDS = {"weight"}  # of an entry; a change of these alone is stored with the next other one


class StoredList(msgspec.Struct, frozen=True):
    """A complete endpoint list, in discovery's form.

    Attributes:
        generation: Its version.
        instances: Its entries.
        reset: Always true: the list is complete.
        superseded_generation: The highest version of an earlier sequence of versions that discovery has abandoned; -1
            if there is none.
    """

    generation: int
    instances: list[dict[str, Any]]
    reset: bool = True
    superseded_generation: int = -1

    def is_newer_than(self, generation: int) -> bool:
        """Return whether this list is at least as new as one of the given version."""
        return self.generation >= generation or generation <= self.superseded_generation


def encode(stored: StoredList) -> bytes:
    """Encode a list as the bytes of the file."""
    return frame(HEADER, msgspec.json.encode(stored))


def decode(data: bytes) -> StoredList:
    """Decode a list from the bytes of the file.

    Raises:
        ValueError: The bytes are not a stored list, or are damaged.
    """
    body = unframe(HEADER, data, "is not an endpoint list")
    try:
        return msgspec.json.decode(body, type=StoredList)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error


class EndpointListFile:
    """The shared file, which another process of this proxy may replace at any time."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._lock_path = folder / f"{FILE_NAME}.lock"

    def load(self) -> StoredList | None:
        """Return the stored list; None if there is no file.

        Raises:
            OSError: The file cannot be read.
            ValueError: The file is damaged.
        """
        try:
            with self._path.open("rb") as file:
                return decode(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return None

    def version(self) -> FileVersion | None:
        """Return the identity of the file's current state; None if there is no file."""
        return FileVersion.of(self._path)

    def write(self, stored: StoredList, *, is_snapshot: bool) -> None:
        """Replace the stored list, unless a sibling process has stored a newer one.

        Args:
            stored: The list.
            is_snapshot: Whether discovery has just sent it as a complete list: that is always the newest, even with a
                lower version, which then begins another sequence of versions.

        Raises:
            OSError: The file cannot be written now, or another process is writing it.
        """
        with self._locked():
            try:
                before = self.load()
            except ValueError:
                before = None
            if before is not None:
                is_lower = stored.generation < before.generation
                if is_lower and not is_snapshot:
                    return
                left_generation = before.generation if is_lower else -1
                superseded = max(left_generation, before.superseded_generation)
                stored = msgspec.structs.replace(stored, superseded_generation=superseded)
            write_atomically(self._path, encode(stored))

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Hold the lock; a process that is stopped while it holds it must not stop this one."""
        lock = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        with closing_descriptor(lock):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield


class EndpointListStore:
    """Keeps the complete list as discovery sent it, and stores it at each change. Failures are logged."""

    def __init__(self, file: EndpointListFile, log: EventLog) -> None:
        """Start with an empty list."""
        self._file = file
        self._log = log
        self._entries: dict[str, dict[str, Any]] = {}
        self._generation = 0
        self._has_unwritten = False
        self._is_snapshot_unwritten = False
        self._loaded_version: FileVersion | None = None
        self._last_failure = ""  # logged once while it lasts

    def load_newest(self, known: Any) -> Any:
        """Return the newer of `known`, the configured copy of the list, and the stored list; None without either."""
        stored = self._load()
        if stored is None:
            return known
        generation = known.get("generation", 0) if isinstance(known, dict) else None
        is_known_newer = isinstance(generation, int | float) and not stored.is_newer_than(int(generation))
        self._log.event(
            "endpoint_list_restored", stored=stored.generation, known=generation, is_used=not is_known_newer
        )
        return known if is_known_newer else msgspec.to_builtins(stored)

    def load_changed(self, version: int | None) -> Any:
        """Return the stored list if another process has replaced it by one newer than `version`, otherwise None."""
        if self._file.version() == self._loaded_version:
            return None
        stored = self._load()
        if stored is None or stored.generation == version:
            return None
        is_newer = version is None or stored.is_newer_than(version)
        return msgspec.to_builtins(stored) if is_newer else None

    def record(self, page: Any, kind: EndpointUpdateKind) -> None:
        """Apply a valid page, and store the list if discovery itself has sent the page."""
        is_snapshot = kind is not EndpointUpdateKind.DELTA
        is_urgent = self._apply(page, is_snapshot=is_snapshot)
        if kind is EndpointUpdateKind.CACHED:
            return
        self._is_snapshot_unwritten |= is_snapshot
        self._has_unwritten |= is_urgent
        self.retry()

    def retry(self) -> None:
        """Store the list if it is not stored yet."""
        if not self._has_unwritten:
            return
        stored = StoredList(self._generation, list(self._entries.values()))
        try:
            self._file.write(stored, is_snapshot=self._is_snapshot_unwritten)
        except OSError as error:
            self._log_once("endpoint_list_write_failed", error)
            return
        self._last_failure = ""
        self._has_unwritten = False
        self._is_snapshot_unwritten = False

    def _load(self) -> StoredList | None:
        version = self._file.version()
        try:
            stored = self._file.load()
        except (OSError, ValueError) as error:  # the file is read again at the next poll
            self._log_once("endpoint_list_read_failed", error)
            return None
        self._loaded_version = version
        return stored

    def _apply(self, page: dict[str, Any], *, is_snapshot: bool) -> bool:
        """Apply a page to the list; return whether it has to be stored without delay."""
        before = {} if is_snapshot else self._entries
        self._entries = dict(before)
        self._generation = int(page.get("generation", 0))
        is_urgent = is_snapshot
        for entry in page["instances"]:
            name = entry["instanceId"]
            is_urgent = is_urgent or _without_unurgent(entry) != _without_unurgent(before.get(name, {}))
            if entry["lifecycle"] == REMOVED:
                self._entries.pop(name, None)
            else:
                self._entries[name] = entry
        return is_urgent

    def _log_once(self, event: str, error: Exception) -> None:
        if self._last_failure != str(error):
            self._last_failure = str(error)
            self._log.event(event, error=str(error))


def _without_unurgent(entry: dict[str, Any]) -> dict[str, Any]:
    return {field: value for field, value in entry.items() if field not in UNURGENT_FIELDS}
