"""The clients of a run and the front before the proxies, whatever the driver: who tries when, and what came of it.

A driver says how a session is opened, left and quit; when a client comes again, and what is counted, is here.
"""

from __future__ import annotations

from functools import partial
from typing import Generic, Protocol, TypeVar

from stoatgw.emulator.world.population import Client
from stoatgw.emulator.world.world_state import Uniforms, WorldState

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


class Visit(Protocol):
    """A client's session at a proxy, as the crowd sees it."""

    client: Client
    profile: int
    asked_us: int
    client_answered: bool


V = TypeVar("V", bound=Visit)


class ClientPopulation(Generic[V]):
    def __init__(self, realm: WorldState) -> None:
        self.realm = realm
        population, clients = realm.population, realm.scenario.clients
        self.clients = [Client(index, population, clients) for index in range(len(population))]
        self.sessions_open: list[V | None] = [None] * len(self.clients)
        self.admitted: list[bool] = [True] * len(realm.proxies)
        self.front = Uniforms(realm.streams.of("front"))
        self._drops = 0
        self.setups_us: list[tuple[int, int]] = []  # (class, from the client's sending to UP)
        self.tally: dict[str, int] = dict.fromkeys(COUNTS, 0)

    # What a driver does.

    def open_session(self, index: int, proxy: int) -> V | None:
        """Connect a client to a proxy; None if nobody is there."""
        raise NotImplementedError

    def client_leaves(self, session: V) -> None:
        """The client ends its side, with or without an answer."""
        raise NotImplementedError

    def quits(self, session: V) -> None:
        """The client has had what it wanted, and says so to its server."""
        raise NotImplementedError

    # Tries.

    def schedule_arrivals(self) -> None:
        population, realm = self.realm.population, self.realm
        for index in range(population.standing, len(population)):
            realm.scheduler.at(realm.start_us + int(population.arrive_us[index]), partial(self.try_now, index))
        for session in self.sessions_open:
            if session is not None:
                self._plan_end(session)

    def stands(self, session: V) -> None:
        """It stood before the run."""
        self.sessions_open[session.client.index] = session

    def _end_us(self, index: int) -> int:
        return self.realm.start_us + int(self.realm.population.end_us[index])

    def try_now(self, index: int) -> None:
        realm = self.realm
        if realm.scheduler.now_us() >= min(self._end_us(index), realm.end_us):
            return
        if self.sessions_open[index] is not None:
            return
        client = self.clients[index]
        self.tally["tries"] += 1
        self.tally["first_tries"] += not client.retry
        proxy = self._choose_proxy(int(realm.population.zone[index]))
        session = self.open_session(index, proxy) if proxy is not None else None
        if session is None:
            self.tally["unreached"] += 1
            self._again(index, client.after_failure(0))
            return
        self.sessions_open[index] = session

    def _choose_proxy(self, zone: int) -> int | None:
        admitted = [proxy for proxy, admitted in enumerate(self.admitted) if admitted]
        near = [proxy for proxy in admitted if self.realm.proxy_zone(proxy) == zone]
        found = near or admitted
        return found[int(self.front.next() * len(found))] if found else None

    def _again(self, index: int, wait_us: int) -> None:
        self.sessions_open[index] = None
        scheduler = self.realm.scheduler
        scheduler.at(scheduler.now_us() + wait_us, partial(self.try_now, index))

    # What comes of them.

    def give_up(self, session: V) -> None:
        """The client's time is up; does nothing if an answer came."""
        index = session.client.index
        if self.sessions_open[index] is session and not session.client_answered:
            session.client_answered = True
            self.tally["timed_out"] += 1
            self.tally["late_failures"] += 1
            self.client_leaves(session)
            self._again(index, session.client.after_failure(0))

    def unreached(self, session: V) -> None:
        """Its connection never came up."""
        index = session.client.index
        if self.sessions_open[index] is session and not session.client_answered:
            session.client_answered = True
            self.tally["unreached"] += 1
            self._again(index, session.client.after_failure(0))

    def got_answer(self, session: V, kind: str, advice_us: int) -> None:
        """The proxy's answer has come at the client: up, busy or err."""
        index, client = session.client.index, session.client
        if self.sessions_open[index] is not session or session.client_answered:
            return
        session.client_answered = True
        took_us = self.realm.scheduler.now_us() - session.asked_us
        if kind == "up":
            self.tally["up"] += 1
            self.setups_us.append((session.profile, took_us))
            client.served()
            self._plan_end(session)
            return
        self.tally["refused" if kind == "busy" else "failed"] += 1
        profile = self.realm.scenario.clients.classes[session.profile]
        self.tally["late_failures"] += took_us > profile.on_time_ms * 1000
        self._again(index, client.after_failure(advice_us))

    def lost(self, session: V, how: str) -> None:
        """A connection ended at the client's side: MOVE, or a break."""
        index = session.client.index
        if self.sessions_open[index] is not session:
            return
        if not session.client_answered:  # it broke before any answer
            session.client_answered = True
            self.tally["failed"] += 1
            self._again(index, session.client.after_failure(0))
            return
        if self.realm.scheduler.now_us() < self.realm.end_us:  # what comes after is no part of the run
            self.tally["moved" if how == "moved" else "broken"] += 1
        self._again(index, session.client.after_break())

    def _plan_end(self, session: V) -> None:
        end_us = self._end_us(session.client.index)
        if end_us <= self.realm.end_us:
            self.realm.scheduler.at(end_us, partial(self._quit, session))

    def _quit(self, session: V) -> None:
        """The client has had what it wanted."""
        index = session.client.index
        if self.sessions_open[index] is session:
            self.sessions_open[index] = None
            self.quits(session)

    def drop_clients(self, part: float, within_us: int) -> None:
        """Of those that stand, a part breaks off; each comes again within the span."""
        draws = Uniforms(self.realm.streams.of("drops", self._drops))
        self._drops += 1
        for index, session in enumerate(self.sessions_open):
            if session is not None and session.client_answered and draws.next() < part:
                self.client_leaves(session)
                self.tally["broken"] += 1
                self._again(index, self.clients[index].after_break(within_us))
