"""TOML files into checked records: what is wrong becomes one line that names the file and the field."""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
BYTES_MOST = 1 << 20  # such a file is a page or two; guards against being handed a dump


class TomlError(ValueError):
    """A file cannot be used; the message names it and the field."""


def load_toml(path: Path) -> dict[str, Any]:
    """Raises TomlError."""
    try:
        size = path.stat().st_size
        if size > BYTES_MOST:
            raise TomlError(f"{path}: the file holds {size} bytes, over {BYTES_MOST}")
        return tomllib.loads(path.read_bytes().decode())
    except OSError as error:
        raise TomlError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise TomlError(f"{path}: byte {error.start} is not UTF-8") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise TomlError(f"{path}: is no TOML: {str(error)[:200]}") from None


def convert(data: dict[str, Any], kind: type[T], source: str, names: Iterable[str]) -> T:
    """Data into a record; `names` are the fields that a misspelt one may have meant. Raises TomlError."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise TomlError(f"{source}: {_explain(str(error), names)}") from None


def _explain(text: str, names: Iterable[str]) -> str:
    """msgspec's message with the field first, and the nearest known name of an unknown one."""
    message, found, path = text.partition(" - at `$.")
    field = path.rstrip("`") if found else ""
    unknown = re.search(r"unknown field `([^`]*)`", message)
    if unknown is not None:
        near = difflib.get_close_matches(unknown.group(1), sorted(names), 1)
        field = f"{field}.{unknown.group(1)}" if field else unknown.group(1)
        message = "unknown field" + (f"; nearest known name: {near[0]}" if near else "")
    return f"{field or 'the file'}: {message[:200]}"
