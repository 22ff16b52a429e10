"""A balancer's estimates of one server, from which migrations are planned."""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.events import Request


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """A balancer's current estimates of a ready server."""

    server: str
    zone: int
    load: float  # relative to its current capacity
    load_per_connection: float  # load that one mean connection adds, in the same unit
    connections: float  # connections on the server through all balancers
    report_age_us: int  # age of its last load report
    warm_up_fraction: float  # fraction of its full capacity that it has by now
    setups_in_flight: int  # set-ups of this balancer
    is_healthy: bool  # not ejected, failing, slow or at its limit of set-ups
    own_sessions: tuple[Request, ...]  # this balancer's established connections on it that are not migrating
