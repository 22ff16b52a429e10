"""The health of a server, as observed of the server and its zone."""

from __future__ import annotations

from enum import Enum


class ServerHealth(Enum):
    """The health of a listed server."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    EJECTED = "ejected"
