"""The clients of a run and the load balancer in front of the proxies: connections, reconnections and their outcomes.

Both drivers share it. A driver implements how a session is opened, finished and disconnected; when a client
reconnects, and what is counted, is decided here.
"""

from __future__ import annotations

from functools import partial
from typing import Generic, Protocol, TypeVar

from stoatgw.emulator.world.client import Client
from stoatgw.emulator.world.streams import UniformSource
from stoatgw.emulator.world.world_state import WorldState

COUNTERS = (
    "tries",  # connections that clients opened or tried to open
    "first_tries",  # of these, the first of each series of an attempt and its retries
    "up",  # answers UP
    "refused",  # answers BUSY
    "failed",  # answers ERR, and connections that broke before an answer
    "timed_out",  # deadlines that passed before an answer
    "unreached",  # connections that could not be opened
    "attempts",  # attempts that proxies started; on loopback, those that reached a server
    "probes",  # health checks
    "moved",  # sessions that ended by MOVE
    "broken",  # sessions that ended by a broken connection
    "cross_us",  # of the time in `stood_us`, that between a proxy and a server in different zones
    "stood_us",  # established time of all sessions
    "late_failures",  # answers BUSY or ERR after the class's `on_time_ms`, and all of `timed_out`
    "wasted",  # sent attempts that failed, unless the server did no work; counted by the virtual driver only
)


class ClientSession(Protocol):
    """What the population needs to know of a client's session at a proxy."""

    client: Client
    request_class: int
    requested_us: int
    is_client_answered: bool  # the client has received an answer, or has stopped waiting for one


SessionT = TypeVar("SessionT", bound=ClientSession)


class ClientPopulation(Generic[SessionT]):
    """All clients, their open sessions and the counters of the run; the base class of the drivers.

    Attributes:
        open_sessions: The session of each client that has one, or is opening one; None for the others.
        is_admitting: Whether the load balancer sends new clients to a proxy, by proxy.
        load_balancer_random: Random numbers for selecting proxies and for the delays of their restarts.
        setup_times_us: The request class, and the time from sending the request to UP, of each established session.
        counts: The run's counters; the keys are `COUNTERS`.
    """

    def __init__(self, world: WorldState) -> None:
        self.world = world
        clients = world.scenario.clients
        self.clients = [Client(index, world.population, clients) for index in range(len(world.population))]
        self.open_sessions: list[SessionT | None] = [None] * len(self.clients)
        self.is_admitting: list[bool] = [True] * len(world.proxy_names)
        self.load_balancer_random = UniformSource(world.streams.create_generator("front"))
        self.setup_times_us: list[tuple[int, int]] = []
        self.counts: dict[str, int] = dict.fromkeys(COUNTERS, 0)
        self._mass_disconnects = 0  # calls of `disconnect_clients`, each of which has its own random stream

    # Implemented by the drivers.

    def open_session(self, index: int, proxy: int) -> SessionT | None:
        """Connect a client to a proxy; return None if no process listens there."""
        raise NotImplementedError

    def disconnect_client(self, session: SessionT) -> None:
        """Close the client's side of the connection, whether it was answered or not."""
        raise NotImplementedError

    def finish_session(self, session: SessionT) -> None:
        """Make the client ask its server to end a session that it no longer needs."""
        raise NotImplementedError

    # Connecting.

    def schedule_arrivals(self) -> None:
        """Schedule the first connection of every new client, and the departure of those with a session."""
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
        """Open a session for a client, unless it has one, has departed, or the run is over."""
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
        """Select a random proxy in the client's zone, or in any zone if none in that zone admits clients."""
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
        """Disconnect a client whose deadline has passed, unless it has received an answer."""
        if self._is_unanswered(session):
            session.is_client_answered = True
            self.counts["timed_out"] += 1
            self.counts["late_failures"] += 1
            self.disconnect_client(session)
            self._schedule_reconnect(session.client.index, session.client.delay_after_failure_us(0))

    def record_unreachable(self, session: SessionT) -> None:
        """Record that a client could not connect to its proxy."""
        if self._is_unanswered(session):
            session.is_client_answered = True
            self.counts["unreached"] += 1
            self._schedule_reconnect(session.client.index, session.client.delay_after_failure_us(0))

    def receive_answer(self, session: SessionT, kind: str, retry_after_us: int) -> None:
        """Handle the proxy's answer at the client.

        Args:
            session: The session that was answered.
            kind: The answer: up, busy or err.
            retry_after_us: The delay that `BUSY MS` asks for, or 0.
        """
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
        """Handle the end of a connection at the client; `reason` is moved (by MOVE) or broken."""
        index = session.client.index
        if self.open_sessions[index] is not session:
            return
        if not session.is_client_answered:  # the connection broke before an answer
            session.is_client_answered = True
            self.counts["failed"] += 1
            self._schedule_reconnect(index, session.client.delay_after_failure_us(0))
            return
        if self.world.scheduler.now_us() < self.world.end_us:  # disconnections after the end are not counted
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
        """Disconnect a share of the clients with sessions; each reconnects within `within_us`."""
        random = UniformSource(self.world.streams.create_generator("drops", self._mass_disconnects))
        self._mass_disconnects += 1
        for index, session in enumerate(self.open_sessions):
            if session is not None and session.is_client_answered and random.next() < client_share:
                self.disconnect_client(session)
                self.counts["broken"] += 1
                self._schedule_reconnect(index, self.clients[index].delay_after_disconnect_us(within_us))
