"""What a balancer estimates of one server, for whoever plans migrations."""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.events import Request


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """What a balancer estimates of a ready server now."""

    server: str
    zone: int
    load: float  # over what it can do now
    load_per_connection: float  # what one mean connection adds to that
    connections: float  # connections held, by all balancers
    report_age_us: int  # of its last report
    warm_up_fraction: float  # part of its full capacity that it has by now
    setups_in_flight: int  # of this balancer
    is_healthy: bool  # neither ejected nor failing nor slow nor overloaded
    own_sessions: tuple[Request, ...]  # own established connections on it that are not migrating
