"""Servers that fail or are overloaded: whom to eject, and which sessions to migrate.

All other sessions are left alone on the ordinary path.
"""

from __future__ import annotations

from stoatgw.decisions.admission import MARGIN, priority_weight
from stoatgw.decisions.interface import AttemptStatus, Migrate
from stoatgw.decisions.server_selection import SPILL_LOAD, select_server
from stoatgw.decisions.state import PERIOD_US, ConnectionState, DecisionContext, ServerState

MAX_EJECTION_PERIODS = 4  # a failing server is ejected for 1, 2, then so many periods
SHED_EJECTION_US = PERIOD_US // 2
MIN_ERRORS = 2  # errors on first attempts in a row that count as the server's fault
# One in so many connections is migrated when a message is as late as the objective, more when it is later
# still, up to this part: work of seconds is piled up there.
MIGRATED_DIVISOR = 10
MAX_MIGRATED_FRACTION = 0.2
MAX_LATENCY_MS = 1e12  # latencies from there on are not believed


def eject_for_outcome(
    context: DecisionContext, connection: ConnectionState, server: ServerState, status: AttemptStatus
) -> None:
    """Eject a server if the end of an attempt, or of an established connection, shows it at fault."""
    if not connection.is_established and status is AttemptStatus.APP_ERROR:
        # A bad client's request draws an error anywhere: it took two good servers out each time.
        if connection.erring_server is None:
            server.first_attempt_errors += 1
        connection.erring_server = server
    is_at_fault = status is not AttemptStatus.APP_ERROR or server.first_attempt_errors >= MIN_ERRORS
    if not connection.is_established and is_at_fault:
        eject_for_setup(context, server, status)
    elif status is AttemptStatus.DROPPED:
        context.fleet.record_contact(server, status, context.now_us)
    elif status is AttemptStatus.REVOKED and not (connection.is_migrating or connection.is_abandoned):
        # It sends its clients away: it drains, seconds before the endpoint list shows it.
        server.ejected_until_us = context.now_us + MAX_EJECTION_PERIODS * PERIOD_US


def eject_for_setup(context: DecisionContext, server: ServerState, status: AttemptStatus) -> None:
    """Eject a server whose set-up failed: health checks may pass on a server that serves nothing."""
    # One that timed out has at least accepted the connection.
    contact = AttemptStatus.UNUSED if status is AttemptStatus.EXPIRED else status
    context.fleet.record_contact(server, contact, context.now_us)
    if status in (AttemptStatus.DELIVERED, AttemptStatus.REVOKED, AttemptStatus.UNUSED):
        return
    ejection_us = SHED_EJECTION_US
    if status is not AttemptStatus.SHED:
        ejection_us = PERIOD_US * min(MAX_EJECTION_PERIODS, 2**server.setup_failures)
        server.setup_failures += 1
        # A server that never reported and errs is broken by itself: no shared cause, nothing to slow down.
        is_isolated = status is AttemptStatus.APP_ERROR and not server.reported_us
        if status is not AttemptStatus.DIAL_FAILED and not is_isolated:
            # A slow shared store fails set-ups the more of them there are: start fewer at once.
            context.counts.narrow_setup_window()
        context.log("ejected", f"{server.endpoint.name}, set-up ended as {status.value}")
    server.ejected_until_us = max(server.ejected_until_us, context.now_us + ejection_us)
    context.fleet.update_panic_mode(context.now_us)


def check_message_latency(context: DecisionContext, server: ServerState, latency_ms: float) -> None:
    """Relieve a server whose messages are late, the fastest sign of overload."""
    if 0 <= latency_ms < MAX_LATENCY_MS:
        objective_ms = context.latency_objective_ms
        # A latency as long as the strictest objective is a full server.
        server.record_message_latency(MARGIN * latency_ms / objective_ms, context.now_us)
        if latency_ms >= objective_ms:
            fraction = min(MAX_MIGRATED_FRACTION, latency_ms / objective_ms / MIGRATED_DIVISOR)
            migrate_sessions(context, server, fraction)


def check_reported_load(context: DecisionContext, server: ServerState) -> None:
    """Relieve a server that has just reported a load over 1, unless latencies show how it is."""
    # Over sockets lines come back at once however loaded the server is: there only reports show it.
    is_latency_known = context.estimator.is_latency_known(server, context.now_us)
    has_just_reported = server.reported_us == context.now_us
    if server.reported_load > 1.0 and has_just_reported and not is_latency_known:
        migrate_sessions(context, server, 1 / MIGRATED_DIVISOR)


def migrate_sessions(context: DecisionContext, server: ServerState, fraction: float) -> None:
    """Migrate a part of a server's sessions, while another one has capacity or it is overfull."""

    def migration_order(session: ConnectionState) -> tuple[float, float]:
        """Lowest priority weight first, the heaviest of these first."""
        return priority_weight(context, session), -session.load_units

    sessions = sorted(context.connections.migratable(server), key=migration_order)
    load = context.estimator.reported_load_now(server, context.now_us)
    # A part of one is left to chance: one each at least is all of them where many balancers act.
    count = int(len(sessions) * fraction + context.rng.random())
    for session in sessions[:count]:
        if load < MARGIN and select_server(context, session, SPILL_LOAD, excluded=server) is None:
            return
        session.is_migrating = True
        context.actions.append(Migrate(session.request.request_id))
        context.log("relief", f"messages are late on {server.endpoint.name}, moving connections off it")
