"""Small files that outlive a process: a version and a checksum before the body, replaced atomically.

A reader finds the old file or the new one, never a partial one, and detects a truncated or changed file.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class FileVersion:
    """Identifies one state of a file; differs whenever the file has been replaced."""

    inode: int
    modified_ns: int
    size_bytes: int

    @classmethod
    def of(cls, path: Path) -> FileVersion | None:
        """Return the identity of a file's current state; None if there is no file."""
        try:
            stat = path.stat()
        except OSError:
            return None
        return cls(stat.st_ino, stat.st_mtime_ns, stat.st_size)


def frame(header: bytes, body: bytes) -> bytes:
    """Return a file's bytes; `header` names its kind and version."""
    return header + _checksum(body) + b"\n" + body + b"\n"


def unframe(header: bytes, data: bytes, mismatch_reason: str) -> bytes:
    """Return the body of a framed file.

    Args:
        header: What the file has to begin with.
        data: The file's bytes.
        mismatch_reason: Error text for a file that begins with something else.

    Raises:
        ValueError: The file is of another kind or version, truncated, or fails its checksum.
    """
    first_line, _, rest = data.partition(b"\n")
    body = rest.removesuffix(b"\n")
    is_complete = rest != body
    if not first_line.startswith(header) or not is_complete:
        raise ValueError(f"{mismatch_reason}, or cut off")
    if first_line[len(header) :] != _checksum(body):
        raise ValueError("has a wrong checksum")
    return body


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file atomically.

    Raises:
        OSError: The file could not be written; it is unchanged.
    """
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        temporary.write_bytes(data)
        temporary.rename(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise


@contextlib.contextmanager
def closing_descriptor(descriptor: int) -> Iterator[int]:
    """Close a descriptor, and thereby release its locks, at the end of the block."""
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _checksum(body: bytes) -> bytes:
    return b"%08x" % zlib.crc32(body)
