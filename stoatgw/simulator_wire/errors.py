"""What is raised for input that breaks the wire's grammar."""

from __future__ import annotations


class WireError(ValueError):
    """A line cannot be read; the message names the line and the field."""
