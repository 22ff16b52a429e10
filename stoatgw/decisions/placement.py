"""Places requests: admits them to a server, retries them at another one, or gives the final answer."""

from __future__ import annotations

from stoatgw.decisions.admission import admission_margin, has_setup_capacity, priority_weight
from stoatgw.decisions.health_checking import check_for_request, check_oldest
from stoatgw.decisions.interface import Fail, Idempotency, KeyScope, Reject, Send
from stoatgw.decisions.server_selection import draw_recently_reported, select_server
from stoatgw.decisions.state import PERIOD_US, REPORT_DELAY_US, ConnectionState, DecisionContext, ServerState

MAX_ATTEMPTS = 2  # the first attempt and one retry
ANSWER_RESERVE_US = 1_000  # a final answer is sent this long, and two event batches, before the deadline


def place(context: DecisionContext, connection: ConnectionState) -> None:
    """Admit a request to the best server that passes, wait for health checks, or give the final answer."""
    may_send = attempts_left(context, connection) > 0 and time_left_us(context, connection) > 0
    if not (may_send and has_setup_capacity(context)):
        reject(context, connection)
        return
    margin = admission_margin(context, connection)
    needs_recent_report = context.checks_on_request
    server = select_server(context, connection, margin, needs_recent_report=needs_recent_report)
    is_local = server is not None and server.endpoint.zone == context.settings.zone
    if not is_local and check_for_request(context, connection):
        return  # `place` is called again once the results have arrived
    if server is None and needs_recent_report and not _has_recent_report(context):
        server = select_server(context, connection, margin)
    if server is None:
        reject(context, connection)
    else:
        start_attempt(context, connection, server)


def attempts_left(context: DecisionContext, connection: ConnectionState) -> int:
    """Return how many attempts the request may still make."""
    return min(MAX_ATTEMPTS, context.settings.max_attempts) - len(connection.tried_servers)


def time_left_us(context: DecisionContext, connection: ConnectionState) -> int:
    """Return how long an attempt may take so that a final answer can still be sent in time."""
    reserve_us = 2 * context.settings.granularity_us + ANSWER_RESERVE_US
    return connection.deadline_us - reserve_us - context.now_us


def _has_recent_report(context: DecisionContext) -> bool:
    return any(draw_recently_reported(context, is_local=is_local) for is_local in (True, False))


def start_attempt(context: DecisionContext, connection: ConnectionState, server: ServerState) -> None:
    """Send the request to a server, with a timeout that leaves enough time for a retry if one may follow."""
    request = connection.request
    profile = context.settings.profiles[request.request_class]
    timeout_us = time_left_us(context, connection)
    if attempts_left(context, connection) > 1 and profile.idempotency is not Idempotency.FRAGILE:
        timeout_us = min(timeout_us, max(profile.on_time_us, timeout_us // 2))
    connection.tried_servers.append(server.endpoint.name)
    context.consume_slow_start_capacity(server, connection)
    context.connections.assign(connection, server, context.now_us)
    context.actions.append(Send(request.request_id, server.endpoint.name, context.now_us + timeout_us))


def retry_or_close(context: DecisionContext, connection: ConnectionState, *, is_answered: bool) -> None:
    """Place a request again after its attempt has ended, or close it if it needs no further answer."""
    if is_answered or connection.is_established or connection.is_abandoned:
        context.connections.close(connection)
    else:
        place(context, connection)


def reject(context: DecisionContext, connection: ConnectionState) -> None:
    """Give the final answer: a rejection if a repeat is known to be harmless, otherwise a failure."""
    settings = context.settings
    context.counts.record_rejected_priority(priority_weight(context, connection))
    if is_repeat_harmless(context, connection):
        retry_after_us = min(PERIOD_US, settings.max_retry_after_us) if settings.can_advise_retry_after else 0
        context.actions.append(Reject(connection.request.request_id, retry_after_us))
        context.log("refusing", "no server passes the admission test")
        # The latest reports may be outdated: the servers may have capacity by now.
        check_oldest(context, min_age_us=REPORT_DELAY_US)
    else:
        context.actions.append(Fail(connection.request.request_id))
    context.connections.close(connection)


def is_repeat_harmless(context: DecisionContext, connection: ConnectionState) -> bool:
    """Return whether the request has not run, may be run again, or has its repeat dropped by every server."""
    profile = context.settings.profiles[connection.request.request_class]
    if connection.first_run is None or profile.idempotency is Idempotency.RETRYABLE:
        return True
    return profile.idempotency is Idempotency.DEDUP and profile.key_scope is KeyScope.ALL
