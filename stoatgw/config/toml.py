"""Converts TOML files into validated records; errors name the file and the field."""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from stoatgw.config.errors import ConfigError

T = TypeVar("T")
MAX_FILE_BYTES = 1 << 20  # a configuration file has a page or two; rejects a dump passed by mistake
MAX_REASON_CHARACTERS = 200


def load_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        ConfigError: The file is too large, cannot be read, or is not TOML.
    """
    file = str(path)
    try:
        size_bytes = path.stat().st_size
        data = path.read_bytes() if size_bytes <= MAX_FILE_BYTES else None
    except OSError as error:
        raise ConfigError(f"cannot be read: {error.strerror}", file=file) from error
    if data is None:
        raise ConfigError(f"the file has {size_bytes} bytes, over {MAX_FILE_BYTES}", file=file)
    try:
        return tomllib.loads(data.decode())
    except UnicodeDecodeError as error:
        raise ConfigError(f"byte {error.start} is not UTF-8", file=file) from error
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigError(f"is not TOML: {str(error)[:MAX_REASON_CHARACTERS]}", file=file) from error


def convert(data: dict[str, Any], kind: type[T], source: str, names: Iterable[str]) -> T:
    """Convert parsed TOML into a record.

    Args:
        data: The parsed file.
        kind: The record's type, a `msgspec.Struct`.
        source: The file's name for errors.
        names: The known fields; the error for an unknown field suggests the nearest one.

    Raises:
        ConfigError: A field is unknown, missing, has the wrong type or is out of range.
    """
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        field, reason = _split_message(str(error), names)
        raise ConfigError(reason, field=field, file=source) from error


def file_field_names(tables: Iterable[type[msgspec.Struct]]) -> list[str]:
    """List the fields of records as files spell them, for `convert`."""
    return [name for table in tables for name in table.__struct_encode_fields__]


def _split_message(text: str, names: Iterable[str]) -> tuple[str, str]:
    """Split a msgspec message into field and reason; for an unknown field the reason suggests the nearest name."""
    message, found, path = text.partition(" - at `$.")
    field = path.rstrip("`") if found else ""
    unknown = re.search(r"unknown field `([^`]*)`", message)
    if unknown is not None:
        name = unknown.group(1)
        field = f"{field}.{name}" if field else name
        message = "unknown field"
        nearest = difflib.get_close_matches(name, sorted(names), 1)
        if nearest:
            message += f"; nearest known name: {nearest[0]}"
    return field or "the file", message[:MAX_REASON_CHARACTERS]
