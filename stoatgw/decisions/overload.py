"""Handles servers that fail or are overloaded: which servers to eject, and which sessions to migrate.

In normal operation no sessions are migrated here.
"""

from __future__ import annotations

from stoatgw.decisions.admission import MARGIN, priority_weight
from stoatgw.decisions.interface import AttemptStatus, Migrate
from stoatgw.decisions.server_selection import SPILL_LOAD, select_server
from stoatgw.decisions.state import PERIOD_US, ConnectionState, DecisionContext, ServerState

MAX_EJECTION_PERIODS = 4  # a server that keeps failing is ejected for 1, 2, then this many periods
SHED_EJECTION_US = PERIOD_US // 2
MIN_ERRORS = 2  # consecutive errors on first attempts that count as the server's fault
# One in MIGRATED_DIVISOR connections is migrated when a message latency reaches the objective. More are
# migrated at higher latencies, up to MAX_MIGRATED_FRACTION, since seconds of work are queued on the server.
MIGRATED_DIVISOR = 10
MAX_MIGRATED_FRACTION = 0.2
MAX_LATENCY_MS = 1e12  # latencies of this value or more are implausible and ignored


def eject_for_outcome(
    context: DecisionContext, connection: ConnectionState, server: ServerState, status: AttemptStatus
) -> None:
    """Eject a server if the outcome of an attempt or an established connection shows it at fault."""
    if not connection.is_established and status is AttemptStatus.APP_ERROR:
        # A malformed request fails on every server: each one had two healthy servers ejected.
        if connection.erring_server is None:
            server.first_attempt_errors += 1
        connection.erring_server = server
    is_at_fault = status is not AttemptStatus.APP_ERROR or server.first_attempt_errors >= MIN_ERRORS
    if not connection.is_established and is_at_fault:
        eject_for_setup(context, server, status)
    elif status is AttemptStatus.DROPPED:
        context.fleet.record_contact(server, status, context.now_us)
    elif status is AttemptStatus.REVOKED and not (connection.is_migrating or connection.is_abandoned):
        # The server closes its connections because it drains, seconds before the endpoint list shows it.
        server.ejected_until_us = context.now_us + MAX_EJECTION_PERIODS * PERIOD_US


def eject_for_setup(context: DecisionContext, server: ServerState, status: AttemptStatus) -> None:
    """Eject a server whose set-up failed: health checks may pass on a server that serves no requests."""
    # A server on which the attempt timed out has at least accepted the connection.
    contact = AttemptStatus.UNUSED if status is AttemptStatus.EXPIRED else status
    context.fleet.record_contact(server, contact, context.now_us)
    if status in (AttemptStatus.DELIVERED, AttemptStatus.REVOKED, AttemptStatus.UNUSED):
        return
    ejection_us = SHED_EJECTION_US
    if status is not AttemptStatus.SHED:
        ejection_us = PERIOD_US * min(MAX_EJECTION_PERIODS, 2**server.setup_failures)
        server.setup_failures += 1
        # A server that returns errors and never reported is broken itself. There is no shared cause, so fewer
        # set-ups would not help.
        is_isolated = status is AttemptStatus.APP_ERROR and not server.reported_us
        if status is not AttemptStatus.DIAL_FAILED and not is_isolated:
            # While the shared store is slow, more concurrent set-ups make more of them fail: allow fewer.
            context.counts.narrow_setup_window()
        context.log("ejected", f"{server.endpoint.name}, set-up ended as {status.value}")
    server.ejected_until_us = max(server.ejected_until_us, context.now_us + ejection_us)
    context.fleet.update_panic_mode(context.now_us)


def check_message_latency(context: DecisionContext, server: ServerState, latency_ms: float) -> None:
    """Migrate sessions off a server whose messages are late, which is the earliest sign of overload."""
    if 0 <= latency_ms < MAX_LATENCY_MS:
        objective_ms = context.latency_objective_ms
        # A latency equal to the strictest objective counts as a load at the margin.
        server.record_message_latency(MARGIN * latency_ms / objective_ms, context.now_us)
        if latency_ms >= objective_ms:
            fraction = min(MAX_MIGRATED_FRACTION, latency_ms / objective_ms / MIGRATED_DIVISOR)
            migrate_sessions(context, server, fraction)


def check_reported_load(context: DecisionContext, server: ServerState) -> None:
    """Migrate sessions off a server that just reported a load over 1, unless a message latency is known."""
    # Over sockets lines are returned immediately at any load, so only reports show an overload there.
    is_latency_known = context.estimator.is_latency_known(server, context.now_us)
    has_just_reported = server.reported_us == context.now_us
    if server.reported_load > 1.0 and has_just_reported and not is_latency_known:
        migrate_sessions(context, server, 1 / MIGRATED_DIVISOR)


def migrate_sessions(context: DecisionContext, server: ServerState, fraction: float) -> None:
    """Migrate a fraction of a server's sessions, while another has capacity or it is over the margin."""

    def migration_order(session: ConnectionState) -> tuple[float, float]:
        """Sort by ascending priority weight, then by descending load."""
        return priority_weight(context, session), -session.load_units

    sessions = sorted(context.connections.migratable(server), key=migration_order)
    load = context.estimator.reported_load_now(server, context.now_us)
    # A fractional count is rounded at random: if each of many balancers migrated at least one session, the
    # server would lose all of them.
    count = int(len(sessions) * fraction + context.rng.random())
    for session in sessions[:count]:
        if load < MARGIN and select_server(context, session, SPILL_LOAD, excluded=server) is None:
            return
        session.is_migrating = True
        context.actions.append(Migrate(session.request.request_id))
        context.log("relief", f"messages are late on {server.endpoint.name}, moving connections off it")
