"""What all client sessions of a proxy share."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from stoatgw.backends.backend import Backends
from stoatgw.backends.delays import Messages
from stoatgw.clients.room import Room
from stoatgw.config.deployment import Deployment
from stoatgw.decisions.interface import NoteKind
from stoatgw.lines.grammar import field_pattern
from stoatgw.owner.clock import Clock
from stoatgw.owner.course import Course
from stoatgw.owner.messages import Req
from stoatgw.owner.owner import Owner
from stoatgw.sockets import calls
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.figures import Figures
from stoatgw.telemetry.log import EventLog

IDS_KEPT = 16_384
DISMISSED_S = 0.25  # one that is turned away has so long to end its side


class RecentIds:
    """The ids that are open, and those that ended lately: an id is new for every connection, so one that
    comes again is not forwarded."""

    def __init__(self, most: int = IDS_KEPT) -> None:
        self._most, self._open, self._order, self._ended = most, set[str](), deque[str](), set[str]()

    def fresh(self, name: str) -> bool:
        """Whether it never came before; it is open from now on, until `done`."""
        if name in self._open or name in self._ended:
            return False
        self._open.add(name)
        return True

    def done(self, name: str) -> None:
        self._open.discard(name)
        self._ended.add(name)
        self._order.append(name)
        if len(self._order) > self._most:
            self._ended.discard(self._order.popleft())


@dataclass(slots=True, eq=False)
class Standing:
    """A connection that is up, as the watch over message times sees it."""

    req: Req
    server: str
    messages: Messages
    give_up: Callable[[], None]


@dataclass(slots=True, eq=False)
class ProxyContext:
    deployment: Deployment
    owner: Owner
    backends: Backends
    clock: Clock
    row: Callable[[dict[str, float]], tuple[float | None, ...]]
    counters: Counters
    log: EventLog
    room: Room
    ids: RecentIds = field(default_factory=RecentIds)
    standing: dict[str, Standing] = field(default_factory=dict)
    course: Course = field(default_factory=Course)
    classes: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, int] = field(default_factory=dict)
    figures: Figures = field(init=False)
    line_field: re.Pattern[bytes] = field(init=False)  # of a client's first line

    def __post_init__(self) -> None:
        self.classes = {
            profile.name: index for index, profile in enumerate(self.deployment.settings.profiles)
        }
        self.tenants = {name: index for index, name in enumerate(self.deployment.settings.tenants)}
        self.figures = Figures(self.classes)
        self.line_field = field_pattern([*self.classes, *self.tenants])

    async def dismiss(self, sock: socket.socket, line: bytes) -> None:
        """A last line and the end, for a connection that there is no room to serve.

        A request may cross the line on its way: read and thrown away, it does not turn the end into a reset.
        """
        if not self.room.linger():
            calls.turn_away(sock, line)
            return
        try:
            await calls.close_after(sock, line, DISMISSED_S)
        finally:
            self.room.lingered()

    @property
    def ready(self) -> bool:
        """Whether clients are let in: not while they are sent away, and not before the first list."""
        return self.backends.known and self.course.lets_in

    @property
    def load_means(self) -> NoteKind:
        """What a backend's LOAD line tells, by the settings alone: see docs/status.md."""
        deployment = self.deployment
        return NoteKind.DELAY if deployment.tells_delay and not deployment.tells_load else NoteKind.LOAD

    def by_server(self) -> Iterator[tuple[str, list[Standing]]]:
        servers: dict[str, list[Standing]] = {}
        for standing in self.standing.values():
            servers.setdefault(standing.server, []).append(standing)
        yield from servers.items()
