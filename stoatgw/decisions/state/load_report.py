"""A server's load report, as its columns give it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

MAX_CONNECTIONS = 1e6  # reports of more are not believed
MAX_LOAD = 1e3


@dataclass(slots=True)  # not frozen: that would double the cost of one for each report
class LoadReport:
    """How much one server has to do, by its own report."""

    load: float  # over its capacity
    connections: float  # of all balancers

    @classmethod
    def parse(cls, columns: tuple[str, ...], row: tuple[float | None, ...]) -> Self | None:
        """Read a report's row; None if a value is missing or beyond belief."""
        report = dict(zip(columns, row, strict=False))
        load = report.get("x0", report.get("utilization"))
        connections = report.get("outstanding")
        if connections is None or not 0 <= connections < MAX_CONNECTIONS:
            return None
        if load is None or not 0 <= load < MAX_LOAD:
            return None
        return cls(load, connections)
