"""Selects the servers to check, and decides whether a request waits for health checks before it is placed."""

from __future__ import annotations

from stoatgw.decisions.interface import CheckHealth, SetTimer
from stoatgw.decisions.server_selection import RECENT_REPORT_US, draw, draw_recently_reported, may_attempt
from stoatgw.decisions.state import ConnectionState, DecisionContext, ServerHealth, ServerState

MAX_COST_FRACTION = 0.01  # fraction of the service that health checks may cost
INITIAL_CHECKS = 8
MIN_CHECKS_PER_PERIOD = 0.25  # even without any clients
LOCAL_ZONE_FACTOR = 3.0  # servers in the local zone are checked this many times as often
# Each of many balancers receives a request only every few seconds, and its reports are outdated by then. It
# checks this many servers per round for each request, in up to this many rounds, and waits for the results
# for MAX_WAIT_US, or for the time left divided by MAX_WAIT_DIVISOR if that is less.
CHECKS_PER_ROUND = 2
MAX_ROUNDS = 2
CHECKS_PER_REQUEST = CHECKS_PER_ROUND * MAX_ROUNDS
MAX_WAIT_US = 100_000
MAX_WAIT_DIVISOR = 4


def grant_health_checks(context: DecisionContext) -> None:
    """Add the health checks that the clients of a period pay for to the credit."""
    counts = context.counts
    price = context.settings.probe_price
    max_credit = float(max(INITIAL_CHECKS, len(context.fleet.ready)))
    granted = counts.mean_arrivals * MAX_COST_FRACTION / price if price > 0 else max_credit
    credit = counts.health_check_credit + max(MIN_CHECKS_PER_PERIOD, granted)
    counts.health_check_credit = min(max_credit, credit)


def check_oldest(context: DecisionContext, min_age_us: int = 0) -> None:
    """Check the servers with the oldest last check, local ones more often, as far as the credit allows."""
    now_us = context.now_us

    def weighted_age(server: ServerState) -> float:
        """Weight the age at random, even if no server may be checked: all draws keep their order."""
        factor = LOCAL_ZONE_FACTOR if server.endpoint.zone == context.settings.zone else 1.0
        return factor * (now_us - server.health_checked_us) * context.rng.uniform(1, 3)

    due = [server for server in context.fleet.ready if now_us - server.health_checked_us >= min_age_us]
    due.sort(key=weighted_age, reverse=True)
    if context.settings.can_probe:
        reserved = CHECKS_PER_REQUEST if context.checks_on_request else 0
        count = int(context.counts.health_check_credit) - reserved
        for server in due[: max(0, count)]:
            _check(context, server)


def check_for_request(context: DecisionContext, connection: ConnectionState) -> bool:
    """Check a few servers for one request, local zone first; return whether it waits for the results."""
    if not context.checks_on_request or connection.health_check_rounds >= MAX_ROUNDS:
        return False
    if context.counts.health_check_credit < 1.0:
        return False
    drawn: list[ServerState] = []
    for pool, is_local in ((context.fleet.local, True), (context.fleet.remote, False)):
        candidates = draw(context, pool)
        if len(draw_recently_reported(context, is_local=is_local)) < CHECKS_PER_REQUEST:
            drawn += candidates
    suitable = [server for server in drawn if _is_worth_checking(context, connection, server)]
    if not suitable:
        return False
    connection.health_check_rounds += 1
    checked = {_check(context, server) for server in suitable[:CHECKS_PER_ROUND]}
    token = context.pending_checks.begin(connection.request.request_id, checked)
    wait_us = min(MAX_WAIT_US, (connection.deadline_us - context.now_us) // MAX_WAIT_DIVISOR)
    context.actions.append(SetTimer(context.now_us + wait_us, token))
    return True


def _is_worth_checking(context: DecisionContext, connection: ConnectionState, server: ServerState) -> bool:
    is_due = context.now_us - server.health_checked_us >= RECENT_REPORT_US
    is_healthy = context.fleet.health(server, context.now_us) is ServerHealth.HEALTHY
    return is_due and is_healthy and may_attempt(context, connection, server)


def _check(context: DecisionContext, server: ServerState) -> str:
    server.health_checked_us = context.now_us
    context.counts.health_check_credit -= 1.0
    context.actions.append(CheckHealth(server.endpoint.name))
    return server.endpoint.name
