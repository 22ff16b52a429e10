"""The exception that the lab raises for a request that it cannot carry out."""

from __future__ import annotations


class LabError(ValueError):
    """A request that the lab cannot carry out; the message names the file, folder or option and the reason."""
