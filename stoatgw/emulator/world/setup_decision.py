"""What a server answers to a session request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class SetupOutcome(StrEnum):
    """What a server does with a session request."""

    ESTABLISHED = "up"
    BUSY = "busy"
    RESET = "reset"


@dataclass(slots=True)
class SetupDecision:
    """What a server does with a session request, and when."""

    outcome: SetupOutcome
    decided_at_us: int
