"""What is acted on keeps the highest token it has seen, and takes no act under a lower one. Pure.

A holder may stand still between asking whether it may act and acting; no clock of its own can tell. This can.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FencingGuard:
    highest: int = 0

    def admit(self, token: int) -> tuple[FencingGuard, bool]:
        """The fence after an act under a token, and whether the act takes effect."""
        if token <= 0 or token < self.highest:
            return self, False
        return FencingGuard(token), True
