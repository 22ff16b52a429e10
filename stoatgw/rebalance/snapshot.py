"""What a plan is computed from and what it holds: the fleet as one proxy estimates it, and the migrations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionSnapshot:
    """One of the proxy's own established sessions.

    Attributes:
        request_id: The request that opened it.
        idempotency_key: The client's key, the same when it returns under a new request.
        group: The group whose sessions share a cost on each server; None for a session of no group.
        priority_weight: Weight of a second of service, as a fraction of the highest.
        load_units: Its load, in mean sessions.
    """

    request_id: str
    idempotency_key: int | None
    group: int | None
    priority_weight: float
    load_units: float

    @property
    def client(self) -> int | str:
        """What identifies the client across its requests, as far as that is known."""
        return self.idempotency_key if self.idempotency_key is not None else self.request_id


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """One server, as the proxy estimates it now.

    Attributes:
        name: The server's identifier.
        load: Load over current capacity.
        load_per_connection: What one mean session adds to `load`.
        connections: Connections held, by all proxies.
        report_age_us: Age of the load report behind the estimate.
        warm_up_fraction: Fraction of its full capacity that it has by now; under 1 it is in slow start.
        setups_in_flight: The proxy's own attempts in flight to it.
        is_healthy: Whether it is serving, not ejected, and in time with its messages.
        own_sessions: The proxy's own established sessions on it.
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
    """All servers at one moment of the proxy's clock."""

    now_us: int
    servers: tuple[ServerSnapshot, ...]


@dataclass(frozen=True, slots=True)
class PlannedMigration:
    """One migration, with the figures that decided it.

    Attributes:
        request_id: The session to migrate.
        source: The server that it is on.
        target: A server with capacity for it; the decisions may select another.
        source_load: The source's load before the step.
        target_load: The target's load when this migration was evaluated.
        gain: Priority weight regained each second, in mean sessions of the highest weight.
        cost: What the reconnect is taken to cost, spread over the time that the gain lasts.
    """

    request_id: str
    source: str
    target: str
    source_load: float
    target_load: float
    gain: float
    cost: float
