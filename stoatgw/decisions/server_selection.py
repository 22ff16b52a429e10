"""Selects a server for a request: the best of a few that pass the admission test, local zone first."""

from __future__ import annotations

from collections.abc import Iterator

from stoatgw.decisions.admission import passes_admission
from stoatgw.decisions.interface import Idempotency, KeyScope
from stoatgw.decisions.state import ConnectionState, DecisionContext, ServerHealth, ServerState

MIN_CANDIDATES = 2  # servers that pass the test and are compared, if that many do
MAX_EXAMINED = 12  # servers examined in each of the three pools
SPILL_LOAD = 0.6  # below this load servers in the local zone, then warm ones, are filled first
GROUP_AFFINITY = 0.05  # subtracted from the load of a server that already holds the connection's group
MAX_WARMING_UP_EXAMINED = 96  # servers in slow start; few of them have an open slot for this balancer
MAX_SETUPS_PER_SERVER = 16  # this balancer's set-ups in flight at one server
RECENT_REPORT_US = 1_000_000  # with many balancers, older reports are not used

Rank = tuple[bool, bool, bool, float]  # last choice, over the spill load, remote below it, load


def select_server(
    context: DecisionContext,
    connection: ConnectionState,
    margin: float,
    *,
    excluded: ServerState | None = None,
    needs_recent_report: bool = False,
) -> ServerState | None:
    """Return the server with the lowest rank of a few that pass the admission test; None if there is none."""
    fleet = context.fleet
    best = None
    best_rank: Rank = (True, True, True, float("inf"))
    # All balancers see the same delayed reports: if each compared all servers, all would select the same one.
    max_candidates = max(MIN_CANDIDATES, len(fleet.ready) // context.settings.balancers)
    # A balancer may use few of the servers that warm up, so a random draw from all would rarely include one.
    for pool in (fleet.warming_up, fleet.local, fleet.remote):
        is_warming_up = pool is fleet.warming_up
        if is_warming_up and context.slow_start_slots is not None:
            drawn = draw_with_slow_start_capacity(context, connection)
        elif needs_recent_report and not is_warming_up:
            drawn = draw_recently_reported(context, is_local=pool is fleet.local)
        else:
            drawn = draw(context, pool)
        is_remote = pool is fleet.remote
        candidate_count = 0
        for rank, server in _rank_passing(context, connection, drawn, margin, excluded, is_remote=is_remote):
            if rank < best_rank:
                # A server in slow start that is sent too many connections collapses and does not recover.
                if is_warming_up and not context.has_slow_start_capacity(server, connection):
                    continue
                best = server
                best_rank = rank
            is_last_choice, is_over_spill_load, _, _ = rank
            if not (is_last_choice or is_over_spill_load):
                candidate_count += 1
            if candidate_count == max_candidates:
                break
        if candidate_count and pool is fleet.local:
            break
    return best


def _rank_passing(
    context: DecisionContext,
    connection: ConnectionState,
    drawn: list[ServerState],
    margin: float,
    excluded: ServerState | None,
    *,
    is_remote: bool,
) -> Iterator[tuple[Rank, ServerState]]:
    """Rank the drawn servers that may be sent the connection and pass the admission test."""
    estimator = context.estimator
    now_us = context.now_us
    is_load_known = context.fleet.load_per_connection is not None
    units_and_servers = [(estimator.load_units(server, connection, now_us), server) for server in drawn]
    for units, server in sorted(units_and_servers, key=lambda pair: pair[0]):
        health = context.fleet.health(server, now_us)
        if health is ServerHealth.EJECTED or server is excluded:
            continue
        if server.setups_in_flight >= MAX_SETUPS_PER_SERVER or not may_attempt(context, connection, server):
            continue
        is_last_choice = health is ServerHealth.SUSPECTED
        is_over_spill_load = False
        if is_load_known:
            load = estimator.expected_load(server, units, now_us)
            if not passes_admission(load, margin):
                continue
            is_over_spill_load = load >= SPILL_LOAD
            is_last_choice = is_last_choice or not estimator.has_connection_count(server, now_us)
        else:
            load = estimator.connections(server, now_us)
        if units <= connection.load_units:
            load -= GROUP_AFFINITY
        yield (is_last_choice, is_over_spill_load, is_remote and not is_over_spill_load, load), server


def may_attempt(context: DecisionContext, connection: ConnectionState, server: ServerState) -> bool:
    """Return whether the server is untried, and drops repeats of the request if that may have run already."""
    if server.endpoint.name in connection.tried_servers:
        return False
    first_run = connection.first_run
    profile = context.settings.profiles[connection.request.request_class]
    if first_run is None or profile.idempotency is Idempotency.RETRYABLE:
        return True
    is_key_expired = context.now_us > first_run.sent_us + profile.key_ttl_us
    if profile.idempotency is Idempotency.FRAGILE or is_key_expired:
        return False
    if profile.key_scope is KeyScope.CELL:
        return server.endpoint.cell == first_run.endpoint.cell
    return profile.key_scope is not KeyScope.ZONE or server.endpoint.zone == first_run.endpoint.zone


def draw(context: DecisionContext, servers: list[ServerState], size: int = MAX_EXAMINED) -> list[ServerState]:
    """Return up to `size` servers from a random position in the list on, with wrap-around."""
    first = int(context.rng.random() * len(servers))
    return [*servers[first : first + size], *servers[: min(first, size)]][:size]


def draw_with_slow_start_capacity(context: DecisionContext, connection: ConnectionState) -> list[ServerState]:
    """Return a few servers in slow start that may be sent the connection now."""
    drawn = draw(context, context.fleet.warming_up, MAX_WARMING_UP_EXAMINED)
    return [server for server in drawn if context.has_slow_start_capacity(server, connection)][:MAX_EXAMINED]


def draw_recently_reported(context: DecisionContext, *, is_local: bool) -> list[ServerState]:
    """Return a few warm servers of the local zone, or of the remote zones, that have reported recently."""
    recent = context.fleet.reported_since(context.now_us - RECENT_REPORT_US)
    zone = context.settings.zone
    return draw(context, [server for server in recent if (server.endpoint.zone == zone) is is_local])
