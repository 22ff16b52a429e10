"""The operators' own file (TOML): all that is ours and not the platform's. With none, nothing of it is loaded.

Every field has a default that leaves the program as it is without a file. A fault is one line naming file and field.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from stoatgw.config.deployment import ConfigError
from stoatgw.config.toml import TomlError, convert, load_toml
from stoatgw.rebalance.limits import Limits


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    version: Literal[1]
    rebalance: Limits = Limits()


def load_operators(path: str) -> Operators:
    """Raises ConfigError."""
    names = (*Operators.__struct_fields__, *Limits.__struct_fields__)
    try:
        return convert(load_toml(Path(path)), Operators, path, names)
    except TomlError as fault:
        raise ConfigError(str(fault)) from None
