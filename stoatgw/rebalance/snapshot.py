"""The input and output of the planner: the fleet as one proxy estimates it, and the planned migrations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionSnapshot:
    """One of the proxy's own established sessions.

    Attributes:
        request_id: The id of the request that opened it.
        idempotency_key: The client's key, which stays the same when it reconnects with a new request.
        group: The group whose sessions share a fixed load on each server; None without a group.
        priority_weight: The worth of a second of its service, as a fraction of the highest.
        load_units: Its load, in units of a mean session.
    """

    request_id: str
    idempotency_key: int | None
    group: int | None
    priority_weight: float
    load_units: float

    @property
    def client(self) -> int | str:
        """The client's identity across requests: its idempotency key, or the request id if it has none."""
        return self.idempotency_key if self.idempotency_key is not None else self.request_id


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """One server, as the proxy estimates it now.

    Attributes:
        name: The server's identifier.
        load: Load divided by current capacity.
        load_per_connection: The increase of `load` by one mean session.
        connections: Connections of all proxies to the server.
        report_age_us: Age of the load report that the estimate is based on.
        warm_up_fraction: Fraction of its full capacity that it has reached; below 1 it is in slow start.
        setups_in_flight: The proxy's own attempts in flight at the server.
        is_healthy: Whether it is serving, not ejected, and on time with its messages.
        own_sessions: The proxy's own established sessions at the server.
    """

    name: str
    load: float
    load_per_connection: float
    connections: float
    report_age_us: int
    warm_up_fraction: float
    setups_in_flight: int
    is_healthy: bool
    own_sessions: tuple[SessionSnapshot, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """All servers at one time of the proxy's clock."""

    now_us: int
    servers: tuple[ServerSnapshot, ...]


@dataclass(frozen=True, slots=True)
class PlannedMigration:
    """One migration, with the values on which it was decided.

    Attributes:
        request_id: The id of the request of the session to migrate.
        source: The server of the session.
        target: A server with capacity for the session; the decisions may select another one.
        source_load: The source's load before the step.
        target_load: The target's load when this migration was evaluated.
        gain: Priority-weighted service gained per second, in units of a mean session of the highest weight.
        cost: The assumed cost of the reconnect in the same unit, spread over the time for which the gain lasts.
    """

    request_id: str
    source: str
    target: str
    source_load: float
    target_load: float
    gain: float
    cost: float
