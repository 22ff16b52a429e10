"""Small files of ours: a version and a checksum before the rest, written whole and renamed into place."""

from __future__ import annotations

import contextlib
import os
import zlib
from pathlib import Path


def frame(head: bytes, body: bytes) -> bytes:
    """`head` names the kind of file and its version."""
    return head + b"%08x\n" % zlib.crc32(body) + body + b"\n"


def unframe(head: bytes, data: bytes, other: str) -> bytes:
    """The body. Raises ValueError: `other` says what a file is not that has another head, or was cut."""
    first, _, rest = data.partition(b"\n")
    body = rest.removesuffix(b"\n")
    if not first.startswith(head) or rest == body:
        raise ValueError(f"{other}, or cut off")
    if first[len(head) :] != b"%08x" % zlib.crc32(body):
        raise ValueError("has a wrong checksum")
    return body


def write_atomically(path: Path, data: bytes) -> None:
    """Raises OSError, with the file as it was."""
    draft = path.with_suffix(f".{os.getpid()}")
    try:
        draft.write_bytes(data)
        draft.rename(path)
    except OSError:
        with contextlib.suppress(OSError):
            draft.unlink(missing_ok=True)
        raise
