"""What the lab raises for a request that it cannot carry out."""

from __future__ import annotations


class LabError(ValueError):
    """The lab cannot do what was asked; the message names the file, folder or option and why."""
