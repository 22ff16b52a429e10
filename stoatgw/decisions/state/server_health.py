"""How healthy a server is by what has been observed of it and its zone."""

from __future__ import annotations

from enum import Enum


class ServerHealth(Enum):
    """The health of a listed server."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    EJECTED = "ejected"
