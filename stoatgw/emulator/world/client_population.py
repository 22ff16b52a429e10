"""The clients of a run and the load balancer before the proxies: who connects when, and what came of it.

It is the same for both drivers. A driver says how a session is opened, ended and closed; when a client connects again,
and what is counted, is here.
"""

from __future__ import annotations

from functools import partial
from typing import Generic, Protocol, TypeVar

from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.streams import UniformSource
from stoatgw.emulator.world.world_state import WorldState

COUNTERS = (
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
    """A client's session at a proxy, as the population sees it."""

    client: Client
    request_class: int
    requested_us: int
    is_client_answered: bool  # it has its answer, or waits no longer


SessionT = TypeVar("SessionT", bound=ClientSession)


class ClientPopulation(Generic[SessionT]):
    """All clients, their open sessions and the counters of the run; the base class of the drivers."""

    def __init__(self, world: WorldState) -> None:
        self.world = world
        clients = world.scenario.clients
        self.clients = [Client(index, world.population, clients) for index in range(len(world.population))]
        self.open_sessions: list[SessionT | None] = [None] * len(self.clients)
        self.is_admitting: list[bool] = [True] * len(world.proxy_names)  # proxies that new clients are sent to
        self.load_balancer_random = UniformSource(world.streams.create_generator("front"))
        self.setup_times_us: list[tuple[int, int]] = []  # class, and time from the client's sending to UP
        self.counts: dict[str, int] = dict.fromkeys(COUNTERS, 0)
        self._mass_disconnects = 0

    # What a driver implements.

    def open_session(self, index: int, proxy: int) -> SessionT | None:
        """Connect a client to a proxy; None if no process listens there."""
        raise NotImplementedError

    def disconnect_client(self, session: SessionT) -> None:
        """The client closes its side, with or without an answer."""
        raise NotImplementedError

    def finish_session(self, session: SessionT) -> None:
        """The client no longer needs its session, and asks its server to end it."""
        raise NotImplementedError

    # Connecting.

    def schedule_arrivals(self) -> None:
        """Schedule the first connection of every new client, and the departure of every established one."""
        world = self.world
        population = world.population
        for index in range(population.established_count, len(population)):
            arrival_us = world.start_us + int(population.arrival_us[index])
            world.scheduler.call_at(arrival_us, partial(self.connect_client, index))
        for session in self.open_sessions:
            if session is not None:
                self._schedule_departure(session)

    def register_established(self, session: SessionT) -> None:
        """Add a session that is established before the run starts."""
        self.open_sessions[session.client.index] = session

    def connect_client(self, index: int) -> None:
        """Open a session for a client, unless it has one, or its time or the run is over."""
        world = self.world
        if world.scheduler.now_us() >= min(self._departure_us(index), world.end_us):
            return
        if self.open_sessions[index] is not None:
            return
        client = self.clients[index]
        self.counts["tries"] += 1
        if not client.is_retrying:
            self.counts["first_tries"] += 1
        proxy = self._select_proxy(int(world.population.zone[index]))
        session = self.open_session(index, proxy) if proxy is not None else None
        if session is None:
            self.counts["unreached"] += 1
            self._schedule_reconnect(index, client.delay_after_failure_us(0))
            return
        self.open_sessions[index] = session

    def _select_proxy(self, zone: int) -> int | None:
        """A random proxy of the client's zone, or of any zone if none there admits clients."""
        admitting = [proxy for proxy, is_admitting in enumerate(self.is_admitting) if is_admitting]
        local = [proxy for proxy in admitting if self.world.proxy_zone(proxy) == zone]
        candidates = local or admitting
        if not candidates:
            return None
        return candidates[int(self.load_balancer_random.next() * len(candidates))]

    def _schedule_reconnect(self, index: int, wait_us: int) -> None:
        self.open_sessions[index] = None
        scheduler = self.world.scheduler
        scheduler.call_at(scheduler.now_us() + wait_us, partial(self.connect_client, index))

    # Outcomes.

    def time_out(self, session: SessionT) -> None:
        """The client's deadline has passed; does nothing if an answer came."""
        if self._is_unanswered(session):
            session.is_client_answered = True
            self.counts["timed_out"] += 1
            self.counts["late_failures"] += 1
            self.disconnect_client(session)
            self._schedule_reconnect(session.client.index, session.client.delay_after_failure_us(0))

    def record_unreachable(self, session: SessionT) -> None:
        """The client could not connect to its proxy."""
        if self._is_unanswered(session):
            session.is_client_answered = True
            self.counts["unreached"] += 1
            self._schedule_reconnect(session.client.index, session.client.delay_after_failure_us(0))

    def receive_answer(self, session: SessionT, kind: str, retry_after_us: int) -> None:
        """The proxy's answer has reached the client: up, busy or err."""
        if not self._is_unanswered(session):
            return
        client = session.client
        session.is_client_answered = True
        elapsed_us = self.world.scheduler.now_us() - session.requested_us
        if kind == "up":
            self.counts["up"] += 1
            self.setup_times_us.append((session.request_class, elapsed_us))
            client.record_success()
            self._schedule_departure(session)
            return
        self.counts["refused" if kind == "busy" else "failed"] += 1
        client_class = self.world.scenario.clients.classes[session.request_class]
        if elapsed_us > client_class.on_time_ms * 1000:
            self.counts["late_failures"] += 1
        self._schedule_reconnect(client.index, client.delay_after_failure_us(retry_after_us))

    def receive_disconnect(self, session: SessionT, reason: str) -> None:
        """A connection ended at the client's side; `reason` is moved (by MOVE) or broken."""
        index = session.client.index
        if self.open_sessions[index] is not session:
            return
        if not session.is_client_answered:  # it broke before any answer
            session.is_client_answered = True
            self.counts["failed"] += 1
            self._schedule_reconnect(index, session.client.delay_after_failure_us(0))
            return
        if self.world.scheduler.now_us() < self.world.end_us:  # what comes after is no part of the run
            self.counts["moved" if reason == "moved" else "broken"] += 1
        self._schedule_reconnect(index, session.client.delay_after_disconnect_us())

    def _is_unanswered(self, session: SessionT) -> bool:
        return self.open_sessions[session.client.index] is session and not session.is_client_answered

    # Departures.

    def _departure_us(self, index: int) -> int:
        return self.world.start_us + int(self.world.population.departure_us[index])

    def _schedule_departure(self, session: SessionT) -> None:
        departure_us = self._departure_us(session.client.index)
        if departure_us <= self.world.end_us:
            self.world.scheduler.call_at(departure_us, partial(self._depart, session))

    def _depart(self, session: SessionT) -> None:
        index = session.client.index
        if self.open_sessions[index] is session:
            self.open_sessions[index] = None
            self.finish_session(session)

    def disconnect_clients(self, client_share: float, within_us: int) -> None:
        """A share of the clients with sessions disconnects; each connects again within the span."""
        random = UniformSource(self.world.streams.create_generator("drops", self._mass_disconnects))
        self._mass_disconnects += 1
        for index, session in enumerate(self.open_sessions):
            if session is not None and session.is_client_answered and random.next() < client_share:
                self.disconnect_client(session)
                self.counts["broken"] += 1
                self._schedule_reconnect(index, self.clients[index].delay_after_disconnect_us(within_us))
