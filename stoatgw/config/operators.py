"""The operators' own file (TOML): all that is ours and not the platform's. With none, nothing of it is loaded.

Every field has a default that leaves the program as it is without a file. A fault is one line naming file and field.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from stoatgw.config.deployment import ConfigError
from stoatgw.rebalance.limits import Limits

BYTES_MOST = 1 << 20


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    version: Literal[1]
    rebalance: Limits = Limits()


def load_operators(path: str) -> Operators:
    """Raises ConfigError."""
    file = Path(path)
    try:
        if file.stat().st_size > BYTES_MOST:
            raise ConfigError(f"{path}: the file is over {BYTES_MOST} bytes")
        data = tomllib.loads(file.read_bytes().decode())
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: byte {error.start} is not UTF-8") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: is no TOML: {str(error)[:200]}") from None
    try:
        return msgspec.convert(data, Operators)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {_explain(str(error))}") from None


def _explain(text: str) -> str:
    message, found, path = text.partition(" - at `$.")
    field = path.rstrip("`") if found else ""
    unknown = re.search(r"unknown field `([^`]*)`", message)
    if unknown is not None:
        near = difflib.get_close_matches(unknown.group(1), [*Operators.__struct_fields__, *Limits.__struct_fields__], 1)
        field = f"{field}.{unknown.group(1)}" if field else unknown.group(1)
        message = "unknown field" + (f"; nearest known name: {near[0]}" if near else "")
    return f"{field or 'the file'}: {message[:200]}"
