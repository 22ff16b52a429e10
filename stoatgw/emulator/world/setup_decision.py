"""The decision of a server on a session request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class SetupOutcome(StrEnum):
    """The outcome of a session request at a server."""

    ESTABLISHED = "up"
    BUSY = "busy"
    RESET = "reset"


@dataclass(slots=True)
class SetupDecision:
    """The outcome of a session request at a server, and when the server answers."""

    outcome: SetupOutcome
    decided_at_us: int
