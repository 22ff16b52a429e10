"""The state that a decision is made from, and the actions decided on so far."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stoatgw.decisions.actions import Action, Log
from stoatgw.decisions.events import (
    AttemptStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Lifecycle,
    Request,
    SessionRestored,
)
from stoatgw.decisions.server_estimate import ServerEstimate
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.balancer_state import BalancerState
from stoatgw.decisions.state.connection_state import ConnectionState, ExecutedAttempt
from stoatgw.decisions.state.connection_table import ConnectionTable
from stoatgw.decisions.state.endpoint_subscription import EndpointSubscription
from stoatgw.decisions.state.fleet_state import FleetState
from stoatgw.decisions.state.load_estimator import LoadEstimator
from stoatgw.decisions.state.pending_health_checks import PendingHealthChecks
from stoatgw.decisions.state.server_health import ServerHealth
from stoatgw.decisions.state.server_state import ServerState
from stoatgw.decisions.state.slow_start import SlowStartLimiter
from stoatgw.decisions.state.slow_start_slots import SlowStartSlots

LOG_INTERVAL_US = 10_000_000  # minimum interval between two log lines of one kind


@dataclass(slots=True)
class DecisionContext:
    """The state of one balancer while it handles an event."""

    settings: Settings
    rng: random.Random
    counts: BalancerState
    fleet: FleetState
    connections: ConnectionTable
    estimator: LoadEstimator
    slow_start: SlowStartLimiter  # used with few balancers
    slow_start_slots: SlowStartSlots | None  # used with many balancers
    subscription: EndpointSubscription
    max_priority_weight: float  # highest of the request classes
    latency_objective_ms: float  # strictest of the request classes
    checks_on_request: bool  # servers are checked for each request, since reports are outdated when it arrives
    pending_checks: PendingHealthChecks = field(default_factory=PendingHealthChecks)
    now_us: int = 0
    actions: list[Action] = field(default_factory=list)
    logged_us: dict[str, int] = field(default_factory=dict)  # time of the last log line, by kind

    @classmethod
    def create(
        cls, settings: Settings, *, seed: int, has_many_balancers: bool, health_check_credit: float
    ) -> DecisionContext:
        """Return the context of a balancer without any observations.

        Args:
            settings: The balancer's settings.
            seed: Seed of all random draws.
            has_many_balancers: Whether there are so many balancers that each receives a request only every few seconds.
            health_check_credit: Number of health checks that may be sent at the start.
        """
        counts = BalancerState(health_check_credit=health_check_credit)
        fleet = FleetState()
        checks_on_request = has_many_balancers and settings.can_probe
        return cls(
            settings=settings,
            rng=random.Random(seed),
            counts=counts,
            fleet=fleet,
            connections=ConnectionTable(counts),
            estimator=LoadEstimator(
                settings, fleet, counts, has_many_balancers=has_many_balancers, checks_on_request=checks_on_request
            ),
            slow_start=SlowStartLimiter(settings),
            slow_start_slots=SlowStartSlots(settings) if has_many_balancers else None,
            subscription=EndpointSubscription(settings),
            max_priority_weight=max(profile.worth for profile in settings.profiles) or 1.0,
            latency_objective_ms=min(profile.message_aim_us for profile in settings.profiles) / 1000,
            checks_on_request=checks_on_request,
        )

    def log(self, kind: str, text: str) -> None:
        """Add a log line, unless one of its kind was added within `LOG_INTERVAL_US`."""
        if self.now_us - self.logged_us.get(kind, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            self.logged_us[kind] = self.now_us
            self.actions.append(Log(f"{kind}: {text}"))

    def begin_period(self) -> None:
        """Update the means, and this balancer's fraction of all connections."""
        self.counts.begin_period()
        self.estimator.begin_period(self.now_us)
        # While a peer is down, this balancer has a larger fraction of all connections.
        reported = sum(server.reported_connections or 0.0 for server in self.fleet.ready)
        own_fraction = len(self.connections) / max(1.0, reported)
        self.counts.connection_share = min(1.0, max(1 / self.settings.balancers, own_fraction))

    def open_request(self, request: Request) -> ConnectionState:
        """Count a client's request and return its state."""
        self.slow_start.record_request(self.now_us)
        if self.slow_start_slots is not None:
            self.slow_start_slots.record_request(request, self.now_us)
        if not request.is_client_retry:
            self.counts.period_arrivals += 1
        return self.connections.open(request, self.now_us)

    def begin_migration(self, request_id: str) -> bool:
        """Mark an established connection as migrating; return False if it is not established or already migrating."""
        connection = self.connections.get(request_id)
        if connection is None or not connection.is_established or connection.is_migrating:
            return False
        connection.is_migrating = True
        return True

    def rebuild_server_pools(self, max_report_age_us: int) -> None:
        """Rebuild the pools that servers are selected from."""
        self.fleet.rebuild_pools(
            self.settings, self.rng, self._shares_budget, now_us=self.now_us, max_report_age_us=max_report_age_us
        )

    def has_slow_start_capacity(self, server: ServerState, connection: ConnectionState) -> bool:
        """Return whether this balancer's share of a server's slow-start budget allows the connection."""
        load = self.estimator.slow_start_load_per_connection(server, self.now_us)
        if self.slow_start_slots is None:
            units = self._slow_start_units(server, connection)
            return self.slow_start.has_capacity(server, units, load, self.now_us)
        units = self.estimator.load_units(server, connection, self.now_us)
        return self.slow_start_slots.has_capacity(server, units, load, self.now_us)

    def consume_slow_start_capacity(self, server: ServerState, connection: ConnectionState) -> None:
        """Consume this balancer's share of a server's slow-start budget for a connection."""
        if self.slow_start_slots is None:
            units = self._slow_start_units(server, connection)
            connection.slow_start_send = self.slow_start.record_send(server, units, self.now_us)
            return
        units = self.estimator.load_units(server, connection, self.now_us)
        load = self.estimator.slow_start_load_per_connection(server, self.now_us)
        self.slow_start_slots.consume(server, units, load, self.now_us)

    def _shares_budget(self, server: ServerState) -> bool:
        if self.slow_start_slots is not None:
            return True
        load = self.estimator.slow_start_load_per_connection(server, self.now_us)
        return self.slow_start.shares_budget(server, load, self.now_us)

    def _slow_start_units(self, server: ServerState, connection: ConnectionState) -> float:
        load_units = self.estimator.load_units(server, connection, self.now_us)
        return self.slow_start.charged_units(load_units, is_new_group=load_units > connection.load_units)

    def _end_slow_start_send(self, connection: ConnectionState) -> None:
        if connection.slow_start_send is not None:
            connection.slow_start_send.setup_ended_us = self.now_us
            connection.slow_start_send = None

    def apply_endpoint_update(self, update: EndpointUpdate) -> bool:
        """Apply an update of the endpoint list; return whether a server was added, removed or changed its lifecycle."""
        self.subscription.record_update(update.kind, self.now_us)
        if update.kind is EndpointUpdateKind.ERROR:
            return False
        return self.fleet.apply_update(update)

    def restore_session(self, event: SessionRestored) -> None:
        """Count a connection that was established before this balancer started."""
        connection = self.connections.open(event.request, self.now_us)
        connection.is_established = True
        server = self.fleet.servers.get(event.server)
        if server is not None:
            self.connections.assign(connection, server, sent_us=0)

    def record_established(self, connection: ConnectionState, server: ServerState) -> None:
        """Count a connection as established on its server."""
        self.connections.establish(connection, server)
        self._end_slow_start_send(connection)
        self.counts.widen_setup_window()
        server.record_setup()
        self.fleet.record_contact(server, AttemptStatus.DELIVERED, self.now_us)

    def record_outcome(self, connection: ConnectionState, server: ServerState, status: AttemptStatus) -> None:
        """Count an attempt or an established connection as ended."""
        self.connections.release(connection, server, self.now_us)
        self._end_slow_start_send(connection)
        # Clients of a draining server reconnect immediately, so their connections free no capacity elsewhere.
        is_finished = status is AttemptStatus.DELIVERED or connection.is_migrating
        if is_finished or not connection.is_established:
            self.counts.placed_this_period -= connection.load_units
        elif self.checks_on_request and not connection.is_abandoned:
            # The connection was lost: the peers' clients on that server reconnect as well.
            self.counts.placed_this_period += connection.load_units
        may_be_retried = not connection.is_established
        if may_be_retried and connection.first_run is None and not status.never_ran:
            connection.first_run = ExecutedAttempt(server.endpoint, connection.sent_us)

    def record_disconnect(self, event: ClientDisconnected) -> None:
        """Record that a client has disconnected; a request that is waiting for health checks is closed."""
        connection = self.connections.get(event.request_id)
        if connection is not None:
            connection.is_abandoned = True
            if self.pending_checks.cancel(event.request_id):
                self.connections.close(connection)

    def avoided_servers(self) -> list[str]:
        """Return the listed servers that are not active or not healthy."""
        return [
            server.endpoint.name
            for server in self.fleet.servers.values()
            if server.endpoint.lifecycle is not Lifecycle.ACTIVE
            or self.fleet.health(server, self.now_us) is not ServerHealth.HEALTHY
        ]

    def estimate_servers(self, *, max_setups: int) -> list[ServerEstimate]:
        """Return the estimates of each ready server; one with `max_setups` set-ups in flight is not healthy."""
        if self.fleet.load_per_connection is None:
            return []
        return [self._estimate_server(server, max_setups) for server in self.fleet.ready]

    def _estimate_server(self, server: ServerState, max_setups: int) -> ServerEstimate:
        now_us = self.now_us
        warm_up_fraction = server.warm_up_fraction(now_us, self.settings)
        is_slow = self.estimator.is_latency_known(server, now_us)
        is_ejected = server.ejected_until_us > now_us
        is_failing = server.health_check_failures > 1
        is_overloaded = server.setups_in_flight >= max_setups
        return ServerEstimate(
            server=server.endpoint.name,
            zone=server.endpoint.zone,
            load=self.estimator.expected_load(server, 0.0, now_us),
            load_per_connection=self.estimator.load_per_connection(server, now_us) / warm_up_fraction,
            connections=self.estimator.connections(server, now_us),
            report_age_us=now_us - server.reported_us,
            warm_up_fraction=warm_up_fraction,
            setups_in_flight=server.setups_in_flight,
            is_healthy=not (is_slow or is_ejected or is_failing or is_overloaded),
            own_sessions=tuple(each.request for each in self.connections.migratable(server)),
        )
