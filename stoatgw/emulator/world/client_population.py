"""The clients of a run and the front before the proxies, whatever the driver: who tries when, and what came of it.

A driver says how a session is opened, left and quit; when a client comes again, and what is counted, is here.
"""

from __future__ import annotations

from functools import partial
from typing import Generic, Protocol, TypeVar

from stoatgw.emulator.world.population import Client
from stoatgw.emulator.world.world_state import UniformSource, WorldState

COUNTS = (
    "tries",
    "first_tries",
    "up",
    "refused",
    "failed",
    "timed_out",
    "unreached",
    "attempts",
    "probes",
    "moved",
    "broken",
    "cross_us",
    "stood_us",
    "late_failures",
    "wasted",
)


class ClientSession(Protocol):
    """A client's session at a proxy, as the crowd sees it."""

    client: Client
    request_class: int
    requested_us: int
    is_client_answered: bool


V = TypeVar("V", bound=ClientSession)


class ClientPopulation(Generic[V]):
    def __init__(self, world: WorldState) -> None:
        self.world = world
        population, clients = world.population, world.scenario.clients
        self.clients = [Client(index, population, clients) for index in range(len(population))]
        self.open_sessions: list[V | None] = [None] * len(self.clients)
        self.is_admitting: list[bool] = [True] * len(world.proxy_names)
        self.front_random = UniformSource(world.streams.of("front"))
        self._drops = 0
        self.setup_times_us: list[tuple[int, int]] = []  # (class, from the client's sending to UP)
        self.counts: dict[str, int] = dict.fromkeys(COUNTS, 0)

    # What a driver does.

    def open_session(self, index: int, proxy: int) -> V | None:
        """Connect a client to a proxy; None if nobody is there."""
        raise NotImplementedError

    def disconnect_client(self, session: V) -> None:
        """The client ends its side, with or without an answer."""
        raise NotImplementedError

    def finish_session(self, session: V) -> None:
        """The client has had what it wanted, and says so to its server."""
        raise NotImplementedError

    # Tries.

    def schedule_arrivals(self) -> None:
        population, world = self.world.population, self.world
        for index in range(population.established_count, len(population)):
            world.scheduler.call_at(
                world.start_us + int(population.arrival_us[index]), partial(self.connect_client, index)
            )
        for session in self.open_sessions:
            if session is not None:
                self._plan_end(session)

    def register_established(self, session: V) -> None:
        """It stood before the run."""
        self.open_sessions[session.client.index] = session

    def _end_us(self, index: int) -> int:
        return self.world.start_us + int(self.world.population.departure_us[index])

    def connect_client(self, index: int) -> None:
        world = self.world
        if world.scheduler.now_us() >= min(self._end_us(index), world.end_us):
            return
        if self.open_sessions[index] is not None:
            return
        client = self.clients[index]
        self.counts["tries"] += 1
        self.counts["first_tries"] += not client.is_retrying
        proxy = self._choose_proxy(int(world.population.zone[index]))
        session = self.open_session(index, proxy) if proxy is not None else None
        if session is None:
            self.counts["unreached"] += 1
            self._again(index, client.delay_after_failure_us(0))
            return
        self.open_sessions[index] = session

    def _choose_proxy(self, zone: int) -> int | None:
        admitted = [proxy for proxy, admitted in enumerate(self.is_admitting) if admitted]
        near = [proxy for proxy in admitted if self.world.proxy_zone(proxy) == zone]
        found = near or admitted
        return found[int(self.front_random.next() * len(found))] if found else None

    def _again(self, index: int, wait_us: int) -> None:
        self.open_sessions[index] = None
        scheduler = self.world.scheduler
        scheduler.call_at(scheduler.now_us() + wait_us, partial(self.connect_client, index))

    # What comes of them.

    def time_out(self, session: V) -> None:
        """The client's time is up; does nothing if an answer came."""
        index = session.client.index
        if self.open_sessions[index] is session and not session.is_client_answered:
            session.is_client_answered = True
            self.counts["timed_out"] += 1
            self.counts["late_failures"] += 1
            self.disconnect_client(session)
            self._again(index, session.client.delay_after_failure_us(0))

    def record_unreachable(self, session: V) -> None:
        """Its connection never came up."""
        index = session.client.index
        if self.open_sessions[index] is session and not session.is_client_answered:
            session.is_client_answered = True
            self.counts["unreached"] += 1
            self._again(index, session.client.delay_after_failure_us(0))

    def receive_answer(self, session: V, kind: str, advice_us: int) -> None:
        """The proxy's answer has come at the client: up, busy or err."""
        index, client = session.client.index, session.client
        if self.open_sessions[index] is not session or session.is_client_answered:
            return
        session.is_client_answered = True
        took_us = self.world.scheduler.now_us() - session.requested_us
        if kind == "up":
            self.counts["up"] += 1
            self.setup_times_us.append((session.request_class, took_us))
            client.record_success()
            self._plan_end(session)
            return
        self.counts["refused" if kind == "busy" else "failed"] += 1
        profile = self.world.scenario.clients.classes[session.request_class]
        self.counts["late_failures"] += took_us > profile.on_time_ms * 1000
        self._again(index, client.delay_after_failure_us(advice_us))

    def receive_disconnect(self, session: V, how: str) -> None:
        """A connection ended at the client's side: MOVE, or a break."""
        index = session.client.index
        if self.open_sessions[index] is not session:
            return
        if not session.is_client_answered:  # it broke before any answer
            session.is_client_answered = True
            self.counts["failed"] += 1
            self._again(index, session.client.delay_after_failure_us(0))
            return
        if self.world.scheduler.now_us() < self.world.end_us:  # what comes after is no part of the run
            self.counts["moved" if how == "moved" else "broken"] += 1
        self._again(index, session.client.delay_after_disconnect_us())

    def _plan_end(self, session: V) -> None:
        end_us = self._end_us(session.client.index)
        if end_us <= self.world.end_us:
            self.world.scheduler.call_at(end_us, partial(self._quit, session))

    def _quit(self, session: V) -> None:
        """The client has had what it wanted."""
        index = session.client.index
        if self.open_sessions[index] is session:
            self.open_sessions[index] = None
            self.finish_session(session)

    def disconnect_clients(self, part: float, within_us: int) -> None:
        """Of those that stand, a part breaks off; each comes again within the span."""
        draws = UniformSource(self.world.streams.of("drops", self._drops))
        self._drops += 1
        for index, session in enumerate(self.open_sessions):
            if session is not None and session.is_client_answered and draws.next() < part:
                self.disconnect_client(session)
                self.counts["broken"] += 1
                self._again(index, self.clients[index].delay_after_disconnect_us(within_us))
