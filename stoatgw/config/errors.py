"""The exception for invalid configuration, and its report on standard error."""

from __future__ import annotations

import sys

CONFIG_ERROR_STATUS = 2


class ConfigError(ValueError):
    """A configuration is invalid.

    Attributes:
        reason: What is wrong, in a few words.
        field: The field's path as the file spells it; empty if the error is not in a single field.
        file: The file, or the environment variable that names it; empty if the field identifies it.
    """

    def __init__(self, reason: str, *, field: str = "", file: str = "") -> None:
        super().__init__(": ".join(part for part in (file, field, reason) if part))
        self.reason = reason
        self.field = field
        self.file = file


def report_config_error(error: ConfigError) -> int:
    """Print the error as one line on standard error and return the exit status."""
    print(f"stoatgw: {error}", file=sys.stderr)
    return CONFIG_ERROR_STATUS
