"""Baseline policies for comparison: random placement (`floor`), and placement by the servers' true state (`top`).

Both follow the rules: requests are sent only to servers that are ready in the endpoint list, and one attempt at a time.
The omniscient policy places by the true current load; it is not a strict upper bound.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stoatgw.controller.policy import PolicyFactory
from stoatgw.decisions import interface as api
from stoatgw.decisions.interface import AttemptStatus, EndpointUpdateKind, Lifecycle
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.world_state import WorldState

MAX_ATTEMPTS = 2
RETRY_AFTER_US = 1_000_000
ANSWER_MARGIN_US = 50_000  # time before the deadline at which the answer is sent
EXPECTED_SESSION_UNITS = 2.0  # load expected of a session: by the random policy, and of each set-up in progress
REBALANCE_INTERVAL_US = 250_000
REBALANCE_PHASE_STEP_US = 7_919  # added per proxy rank, so that proxies rebalance at different times
MAX_UTILIZATION = 0.85  # the omniscient policy migrates sessions off servers over this
SPARE_UTILIZATION_MARGIN = 0.2  # a server this far below the limit can receive migrated sessions
MAX_PLACEMENT_UTILIZATION = 0.8  # up to which the omniscient policy places sessions on a server
LOW_PRIORITY_UTILIZATION_REDUCTION = 0.35  # of that limit, for a session with a priority weight of 0
REMOTE_ZONE_COST = 0.05  # added to the utilization of a server in a remote zone
WARM_UP_BUDGET_SHARE = 0.5  # share of a server's slow-start budget that these policies use
MAX_CANDIDATES = 64  # of a large fleet, the best of a random sample is nearly as good as the best of all


@dataclass(slots=True)
class _PendingRequest:
    request: api.Request
    deadline_us: int
    tried_servers: list[str] = field(default_factory=list)


class PlacementPolicy:
    """The base class of both policies, which handles the endpoint list, attempts and answers."""

    def __init__(self, world: WorldState, settings: api.Settings, seed: int) -> None:
        self._world = world
        self._settings = settings
        self._random = random.Random(seed)
        self._ready_endpoints: dict[str, api.Endpoint] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._established: set[str] = set()

    def start(self, now_us: int) -> list[api.Action]:
        """Return no actions."""
        return []

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        """Handle an event and return the resulting actions, in order."""
        match event:
            case api.EndpointUpdate():
                self._update_endpoints(event)
            case api.Request():
                self._pending[event.request_id] = _PendingRequest(event, now_us + event.time_left_us)
                return self._place(event.request_id, now_us)
            case api.AttemptEstablished():
                self._established.add(event.request_id)
            case api.SessionRestored():
                self._established.add(event.request.request_id)
            case api.ClientDisconnected():
                self._pending.pop(event.request_id, None)
            case api.AttemptOutcome():
                return self._handle_outcome(event, now_us)
        return []

    def _update_endpoints(self, update: api.EndpointUpdate) -> None:
        if update.kind in (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED):
            self._ready_endpoints.clear()
        for endpoint in update.endpoints:
            self._ready_endpoints.pop(endpoint.name, None)
            if endpoint.lifecycle is Lifecycle.ACTIVE:
                self._ready_endpoints[endpoint.name] = endpoint

    def _handle_outcome(self, outcome: api.AttemptOutcome, now_us: int) -> list[api.Action]:
        was_established = outcome.request_id in self._established
        self._established.discard(outcome.request_id)
        if was_established or outcome.is_final or outcome.status is AttemptStatus.UNUSED:
            self._pending.pop(outcome.request_id, None)
        elif outcome.request_id in self._pending:
            return self._place(outcome.request_id, now_us)
        return []

    def _place(self, request_id: str, now_us: int) -> list[api.Action]:
        """Return the action that sends the request to the selected server, or rejects it."""
        pending = self._pending[request_id]
        remaining_us = pending.deadline_us - now_us - ANSWER_MARGIN_US
        server = None
        if len(pending.tried_servers) < MAX_ATTEMPTS and remaining_us > 0:
            candidates = [name for name in self._ready_endpoints if name not in pending.tried_servers]
            server = self._select_server(pending.request, candidates, now_us)
        if server is None:
            del self._pending[request_id]
            return [api.Reject(request_id, self._retry_after_us())]
        pending.tried_servers.append(server)
        is_last_attempt = len(pending.tried_servers) == MAX_ATTEMPTS
        return [api.Send(request_id, server, now_us + (remaining_us if is_last_attempt else remaining_us // 2))]

    def _retry_after_us(self) -> int:
        if not self._settings.can_advise_retry_after:
            return 0
        return min(RETRY_AFTER_US, self._settings.max_retry_after_us)

    def _select_server(self, request: api.Request, candidates: list[str], now_us: int) -> str | None:
        raise NotImplementedError

    def _is_within_warm_up_budget(self, server: ServerModel, units: float, now_us: int) -> bool:
        """Return whether a server has slow-start budget left for a session; like the rule, it counts all proxies."""
        if server.warm_up_fraction(now_us) >= 1.0:
            return True
        spent_units = server.warm_up_budget.spent_units(now_us)
        in_flight_units = server.setups_in_progress * EXPECTED_SESSION_UNITS
        return spent_units + in_flight_units + units <= WARM_UP_BUDGET_SHARE * server.max_warm_up_units(now_us)


class RandomPolicy(PlacementPolicy):
    """Selects a random ready server."""

    def _select_server(self, request: api.Request, candidates: list[str], now_us: int) -> str | None:
        while candidates:
            name = candidates.pop(int(self._random.random() * len(candidates)))
            if self._is_within_warm_up_budget(self._world.servers[name], EXPECTED_SESSION_UNITS, now_us):
                return name
        return None


class OmniscientPolicy(PlacementPolicy):
    """Selects the server that would be least utilized with the session, by the servers' true state.

    Four times a second it migrates sessions off servers over `MAX_UTILIZATION`, while another server has capacity;
    sessions with the highest load per priority weight first. Requests of low priority are rejected before those of high
    priority.
    """

    def __init__(self, world: WorldState, settings: api.Settings, seed: int) -> None:
        super().__init__(world, settings, seed)
        self._requests_by_server: dict[str, dict[str, api.Request]] = {}  # of established sessions
        self._server_by_request: dict[str, str] = {}  # of established sessions
        self._max_weight = max(profile.worth for profile in settings.profiles) or 1.0

    def start(self, now_us: int) -> list[api.Action]:
        """Schedule the first rebalancing, at a phase that depends on the proxy's rank."""
        return [api.SetTimer(now_us + REBALANCE_INTERVAL_US + REBALANCE_PHASE_STEP_US * self._settings.rank, 0)]

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        """Handle an event and return the resulting actions, in order."""
        match event:
            case api.TimerExpired():
                return [api.SetTimer(now_us + REBALANCE_INTERVAL_US, 0), *self._rebalance()]
            case api.AttemptEstablished():
                self._add_session(self._pending[event.request_id].request, event.server)
            case api.SessionRestored():
                self._add_session(event.request, event.server)
            case api.AttemptOutcome():
                server = self._server_by_request.pop(event.request_id, None)
                if server is not None:
                    del self._requests_by_server[server][event.request_id]
        return super().handle(event, now_us)

    def _add_session(self, request: api.Request, server: str) -> None:
        self._server_by_request[request.request_id] = server
        self._requests_by_server.setdefault(server, {})[request.request_id] = request

    def _rebalance(self) -> list[api.Action]:
        """Migrate sessions off overloaded servers, at most as many as there are servers with spare capacity."""
        servers = self._world.servers
        overloaded = [
            name
            for name, sessions in self._requests_by_server.items()
            if sessions and servers[name].utilization > MAX_UTILIZATION
        ]
        max_spare_utilization = MAX_UTILIZATION - SPARE_UTILIZATION_MARGIN
        spare_server_count = sum(
            1 for server in self._world.serving_servers() if server.utilization < max_spare_utilization
        )
        migrations: list[api.Action] = []
        for name in overloaded[:spare_server_count]:
            if servers[name].lifecycle is ServerLifecycle.SERVING:
                migrations += self._migrate_excess_sessions(servers[name])
        return migrations

    def _migrate_excess_sessions(self, server: ServerModel) -> list[api.Action]:
        """Migrate this proxy's sessions off the server until its utilization is a little under the limit."""
        by_load_per_weight = sorted(
            (
                (server.connections[request_id].load_units / (0.1 + self._relative_weight(request)), request_id)
                for request_id, request in self._requests_by_server[server.name].items()
                if request_id in server.connections
            ),
            reverse=True,
        )
        excess_share = (server.utilization - MAX_UTILIZATION + 0.05) / server.utilization
        excess_units = excess_share * server.total_load_units
        migrated_units = 0.0
        migrations: list[api.Action] = []
        for _, request_id in by_load_per_weight:
            units = server.connections[request_id].load_units
            if migrated_units + units <= excess_units * 1.2:
                migrated_units += units
                migrations.append(api.Migrate(request_id))
            if migrated_units >= excess_units:
                break
        return migrations

    def _relative_weight(self, request: api.Request) -> float:
        """Return the priority weight of a request, relative to the highest."""
        return self._settings.profiles[request.request_class].worth / self._max_weight

    def _select_server(self, request: api.Request, candidates: list[str], now_us: int) -> str | None:
        if len(candidates) > MAX_CANDIDATES:
            candidates = self._random.sample(candidates, MAX_CANDIDATES)
        max_cost = MAX_PLACEMENT_UTILIZATION - LOW_PRIORITY_UTILIZATION_REDUCTION * (
            1.0 - self._relative_weight(request)
        )
        selected = None
        selected_cost = float("inf")
        for name in candidates:
            server = self._world.servers[name]
            if server.lifecycle is not ServerLifecycle.SERVING or server.is_resetting:
                continue
            server.advance_to(now_us)
            units = server.expected_load_units(request.group) + server.setups_in_progress
            capacity_units = server.properties.capacity_units * server.warm_up_fraction(now_us)
            cost = server.utilization + units / capacity_units + server.queueing_delay_s()
            if cost >= max_cost or not self._is_within_warm_up_budget(server, units, now_us):
                continue
            if server.properties.zone != self._settings.zone:
                cost += REMOTE_ZONE_COST
            if cost < selected_cost:
                selected = name
                selected_cost = cost
        return selected


def random_policy(world: WorldState) -> PolicyFactory:
    """Build the random policy, the lower baseline of comparisons."""
    return lambda settings, seed: RandomPolicy(world, settings, seed)


def omniscient_policy(world: WorldState) -> PolicyFactory:
    """Build the omniscient policy, the upper baseline of comparisons."""
    return lambda settings, seed: OmniscientPolicy(world, settings, seed)
