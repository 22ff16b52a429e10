"""The exception for malformed input."""

from __future__ import annotations


class WireError(ValueError):
    """A line is malformed; the message names the line and the field."""
