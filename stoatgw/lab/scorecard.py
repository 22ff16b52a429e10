"""Recovery metrics of a run: useless and repeated migrations, and priority weight lost by cause.

They are computed from the event log, as the checker's results are. The only input from the world is the current
utilization of a server.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from stoatgw.emulator.world.events import Event, EventKind
from stoatgw.emulator.world.population import Population
from stoatgw.lab.recovery import overshoot, recovery_s, spread

MIGRATION_OUTCOME_US = 30_000_000  # only what follows a migration within this time counts as its outcome


class LossCause(StrEnum):
    """Why a client that wants a session has none; the values are part of the tables' column names."""

    SETTING_UP = "setting_up"
    REJECTED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    MIGRATED = "moved"
    BROKEN = "broken"


@dataclass(slots=True)
class _ClientState:
    """The session of one client, or why and since when it has none."""

    since_us: int
    cause: LossCause = LossCause.SETTING_UP
    is_established: bool = False
    has_finished: bool = False  # ended its session by BYE and wants no new one
    server: str = ""
    migrated_from: str = ""  # empty once the session is established again
    migrated_at_us: int = -MIGRATION_OUTCOME_US


class Scorecard:
    """Tracks the clients' sessions and the weight lost; it is fed every event of a run before `compute_metrics`.

    Attributes:
        lost_weight: Priority weight lost, in weighted seconds, by cause.
    """

    def __init__(
        self,
        population: Population,
        weights: tuple[float, ...],
        length_us: int,
        utilization: Callable[[str], float],
    ) -> None:
        """Create the scorecard before the run starts.

        Args:
            population: The clients, with the times between which each wants a session.
            weights: Priority weights by request class.
            length_us: Duration of the run.
            utilization: Returns a server's current load divided by capacity; 0 while it does not serve.
        """
        self.lost_weight = dict.fromkeys(LossCause, 0.0)
        self._population = population
        self._weights = weights
        self._length_us = length_us
        self._utilization = utilization
        self._migrations = 0
        self._repeated_migrations = 0
        self._useless_migrations = 0
        self._clients: dict[int, _ClientState] = {}
        self._client_by_request: dict[str, int] = {}

    def feed(self, event: Event) -> None:
        """Process one event; events must be fed in the order of their time."""
        match event.kind:
            case EventKind.REQUEST_RECEIVED:
                self._client_by_request[event.request_id] = int(event.detail)
                self._client_state(int(event.detail))
            case EventKind.SESSION_ESTABLISHED:
                self._client_by_request[event.request_id] = int(event.detail)
                self._establish(event)
            case EventKind.REQUEST_ANSWERED:
                if event.detail != "up":
                    self._change_cause(event, LossCause.REJECTED if event.detail == "busy" else LossCause.FAILED)
            case EventKind.CLIENT_DISCONNECTED:
                self._change_cause(event, LossCause.TIMED_OUT)
            case EventKind.SESSION_MIGRATED:
                self._migrate(event)
            case EventKind.SESSION_ENDED | EventKind.SESSION_BROKEN:
                self._end_session(event)
            case _:
                pass

    def compute_metrics(
        self,
        demanded_weight: np.ndarray,
        earned_weight: np.ndarray,
        utilization: dict[str, list[float]],
        faults: list[tuple[float, str]],
    ) -> dict[str, float]:
        """Return all metrics of a finished run; the weights are by class and second."""
        for client in range(len(self._population)):
            self._add_loss(client, self._client_state(client), self._length_us)
        demanded = max(1e-9, float(demanded_weight.sum()))
        lost_without_session = sum(self.lost_weight.values())
        shares = {f"lost_{cause.value}": weight / demanded for cause, weight in self.lost_weight.items()}
        # Weight of established sessions whose messages were late because their servers were overloaded or paused.
        lost = float(demanded_weight.sum() - earned_weight.sum())
        shares["lost_late"] = max(0.0, lost - lost_without_session) / demanded
        return shares | {
            "moves": float(self._migrations),
            "moved_twice": float(self._repeated_migrations),
            "moved_for_nothing": float(self._useless_migrations),
            "recovery_s": recovery_s(demanded_weight.sum(axis=0), earned_weight.sum(axis=0), faults),
            "overshoot": overshoot(utilization, faults),
            "spread": spread(utilization),
        }

    def _client_state(self, client: int) -> _ClientState:
        state = self._clients.get(client)
        if state is None:
            state = _ClientState(int(self._population.arrival_us[client]))
            self._clients[client] = state
        return state

    def _known_client(self, event: Event) -> int | None:
        return self._client_by_request.get(event.request_id)

    def _add_loss(self, client: int, state: _ClientState, until_us: int) -> None:
        """Add the weight that the client lost since its state changed, while it wanted a session."""
        end_us = min(until_us, int(self._population.departure_us[client]), self._length_us)
        if not state.is_established and not state.has_finished and end_us > state.since_us:
            weight = self._weights[int(self._population.request_class[client])]
            self.lost_weight[state.cause] += weight * (end_us - state.since_us) / 1e6
        state.since_us = max(state.since_us, until_us)

    def _change_cause(self, event: Event, cause: LossCause) -> None:
        client = self._known_client(event)
        if client is None:
            return
        state = self._client_state(client)
        if not state.is_established:
            self._add_loss(client, state, event.time_us)
            state.cause = cause

    def _establish(self, event: Event) -> None:
        client = self._client_by_request[event.request_id]
        state = self._client_state(client)
        self._add_loss(client, state, event.time_us)
        if event.time_us <= self._length_us and self._was_migrated_recently(state, event.time_us):
            is_same_server = state.migrated_from == event.server
            source_utilization = self._utilization(state.migrated_from)
            if is_same_server or self._utilization(event.server) >= source_utilization > 0.0:
                self._useless_migrations += 1
        state.is_established = True
        state.server = event.server
        state.migrated_from = ""

    def _migrate(self, event: Event) -> None:
        client = self._known_client(event)
        if client is None or event.time_us > self._length_us:
            return
        state = self._client_state(client)
        self._migrations += 1
        if self._was_migrated_recently(state, event.time_us):
            self._repeated_migrations += 1
        self._lose_session(state, event.time_us, LossCause.MIGRATED)
        state.migrated_at_us = event.time_us
        state.migrated_from = state.server

    def _end_session(self, event: Event) -> None:
        client = self._known_client(event)
        if client is None:
            return
        state = self._client_state(client)
        if event.detail == "BYE":
            state.has_finished = True
        self._lose_session(state, event.time_us, LossCause.MIGRATED if event.detail == "MOVE" else LossCause.BROKEN)

    @staticmethod
    def _was_migrated_recently(state: _ClientState, time_us: int) -> bool:
        return time_us - state.migrated_at_us < MIGRATION_OUTCOME_US

    @staticmethod
    def _lose_session(state: _ClientState, time_us: int, cause: LossCause) -> None:
        if state.is_established:
            state.is_established = False
            state.since_us = time_us
            state.cause = cause
