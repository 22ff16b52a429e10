"""A server's load report, parsed from its columns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

MAX_CONNECTIONS = 1e6  # reports of this many connections or more are implausible and ignored
MAX_LOAD = 1e3  # reports of this load or more are implausible and ignored


@dataclass(slots=True)  # not frozen: one is created for each report, and frozen it would cost twice as much
class LoadReport:
    """The load of one server, as reported by itself."""

    load: float  # relative to its capacity
    connections: float  # through all balancers

    @classmethod
    def parse(cls, columns: tuple[str, ...], row: tuple[float | None, ...]) -> Self | None:
        """Parse a report's row; return None if a value is missing or implausible."""
        report = dict(zip(columns, row, strict=False))
        load = report.get("x0", report.get("utilization"))
        connections = report.get("outstanding")
        if connections is None or not 0 <= connections < MAX_CONNECTIONS:
            return None
        if load is None or not 0 <= load < MAX_LOAD:
            return None
        return cls(load, connections)
