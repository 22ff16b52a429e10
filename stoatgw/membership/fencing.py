"""Fencing at the written resource. Pure.

A lease holder may be paused between checking its lease and its write, and cannot notice it by its own clock. The
resource keeps the highest fencing token it has seen and rejects writes with a lower one.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FencingGuard:
    """The highest fencing token of the admitted writes."""

    highest: int = 0

    def admit(self, token: int) -> tuple[FencingGuard, bool]:
        """Return the guard after a write with a token, and whether the write is admitted."""
        if token <= 0 or token < self.highest:
            return self, False
        return FencingGuard(token), True
