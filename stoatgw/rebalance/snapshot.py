"""What a plan goes by: the servers as one proxy believes them to be, and its own connections on them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionSnapshot:
    """One of the proxy's own standing connections."""

    request: str
    key: int | None  # the client's flow: the same when it comes back under a new request
    group: int | None
    worth: float  # of a second, as a part of the highest
    units: float  # its load, in mean connections


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """One server, as the proxy believes it to be now."""

    name: str
    near: bool  # of the proxy's own zone
    load: float  # load over what it can do now
    unit: float  # what one mean connection adds to that
    count: float  # connections held, by all proxies
    age_us: int  # of the report behind it
    share: float  # part of its full capacity that it has by now: under 1 it is cold
    under_way: int  # own set-ups under way on it
    ready: bool  # listed as serving, not left out for failures, messages in time
    mine: tuple[SessionSnapshot, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    now_us: int
    servers: tuple[ServerSnapshot, ...]
    balancers: int = 1


@dataclass(frozen=True, slots=True)
class PlannedMigration:
    """One move, with the figures that decided it."""

    request: str
    source: str
    target: str  # where there was room for it: the module may choose another
    source_load: float
    target_load: float
    gain: float  # worth of a second regained each second, in mean connections of the highest worth
    cost: float  # what the reconnect is taken to cost, spread over the time that the gain lasts

    def __str__(self) -> str:
        return (
            f"move {self.request} off {self.source} (load {self.source_load:.2f}), room at {self.target} "
            f"(load {self.target_load:.2f}): gain {self.gain:.3f}, cost {self.cost:.3f}"
        )
