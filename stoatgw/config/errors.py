"""What is raised for configuration that cannot be used, and the one place that turns it into a line for people."""

from __future__ import annotations

import sys

CONFIG_ERROR_STATUS = 2


class ConfigError(ValueError):
    """A configuration cannot be used.

    Attributes:
        reason: What is wrong, in a few words.
        field: The field's path as the file spells it, or empty where no single field is to blame.
        file: The file, or the environment variable that names it; empty where the caller knows it from the field.
    """

    def __init__(self, reason: str, *, field: str = "", file: str = "") -> None:
        super().__init__(": ".join(part for part in (file, field, reason) if part))
        self.reason = reason
        self.field = field
        self.file = file


def report_config_error(error: ConfigError) -> int:
    """Print the error as one line on standard error; returns the exit status."""
    print(f"stoatgw: {error}", file=sys.stderr)
    return CONFIG_ERROR_STATUS
