"""Fencing at the resource that is written to. Pure.

A lease holder may be suspended between its check and its write, and no clock of its own can tell. The resource can: it
keeps the highest token it has seen and rejects a write under a lower one.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FencingGuard:
    """The highest fencing token that has written so far."""

    highest: int = 0

    def admit(self, token: int) -> tuple[FencingGuard, bool]:
        """The guard after a write under a token, and whether the write takes effect."""
        if token <= 0 or token < self.highest:
            return self, False
        return FencingGuard(token), True
