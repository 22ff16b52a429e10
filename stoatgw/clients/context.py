"""What all client sessions of a proxy share."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from stoatgw.backends.backend import BackendRegistry
from stoatgw.backends.latency import MessageLatencyTracker
from stoatgw.clients.descriptor_limiter import DescriptorLimiter
from stoatgw.clock import Clock
from stoatgw.config.deployment import Deployment
from stoatgw.controller.controller import Controller
from stoatgw.controller.lifecycle import ProxyLifecycle
from stoatgw.controller.messages import RequestState
from stoatgw.decisions.interface import SessionMetricKind
from stoatgw.line_protocol.grammar import field_pattern
from stoatgw.sockets import tcp
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from stoatgw.telemetry.metrics import RequestMetrics

MAX_ENDED_IDS = 16_384
REJECTED_LINGER_S = 0.25  # one that is turned away has so long to end its side


class RecentIds:
    """The ids that are open, and those that ended lately: an id is new for every connection, so one that
    comes again is not forwarded."""

    def __init__(self, most: int = MAX_ENDED_IDS) -> None:
        self._most, self._open, self._order, self._ended = most, set[str](), deque[str](), set[str]()

    def register(self, name: str) -> bool:
        """Whether it never came before; it is open from now on, until `done`."""
        if name in self._open or name in self._ended:
            return False
        self._open.add(name)
        return True

    def mark_ended(self, name: str) -> None:
        self._open.discard(name)
        self._ended.add(name)
        self._order.append(name)
        if len(self._order) > self._most:
            self._ended.discard(self._order.popleft())


@dataclass(slots=True, eq=False)
class EstablishedSession:
    """A connection that is up, as the watch over message times sees it."""

    state: RequestState
    server: str
    latency: MessageLatencyTracker
    abandon_server: Callable[[], None]


@dataclass(slots=True, eq=False)
class ProxyContext:
    deployment: Deployment
    controller: Controller
    backends: BackendRegistry
    clock: Clock
    load_report_row: Callable[[dict[str, float]], tuple[float | None, ...]]
    counters: Counters
    log: EventLog
    descriptor_limiter: DescriptorLimiter
    request_ids: RecentIds = field(default_factory=RecentIds)
    established_sessions: dict[str, EstablishedSession] = field(default_factory=dict)
    lifecycle: ProxyLifecycle = field(default_factory=ProxyLifecycle)
    class_indexes: dict[str, int] = field(default_factory=dict)
    tenant_indexes: dict[str, int] = field(default_factory=dict)
    metrics: RequestMetrics = field(init=False)
    request_field_pattern: re.Pattern[bytes] = field(init=False)  # of a client's first line

    def __post_init__(self) -> None:
        self.class_indexes = {profile.name: index for index, profile in enumerate(self.deployment.settings.profiles)}
        self.tenant_indexes = {name: index for index, name in enumerate(self.deployment.settings.tenants)}
        self.metrics = RequestMetrics(self.class_indexes)
        self.request_field_pattern = field_pattern([*self.class_indexes, *self.tenant_indexes])

    async def reject_connection(self, sock: socket.socket, line: bytes) -> None:
        """A last line and the end, for a connection that there is no room to serve.

        A request may cross the line on its way: read and thrown away, it does not turn the end into a reset.
        """
        if not self.descriptor_limiter.acquire_linger():
            tcp.send_and_close(sock, line)
            return
        try:
            await tcp.close_gracefully(sock, line, REJECTED_LINGER_S)
        finally:
            self.descriptor_limiter.release_linger()

    @property
    def is_ready(self) -> bool:
        """Whether clients are let in: not while they are sent away, and not before the first list."""
        return self.backends.has_endpoints and self.lifecycle.accepts_clients

    @property
    def load_line_kind(self) -> SessionMetricKind:
        """What a backend's LOAD line tells, by the settings alone: see docs/status.md."""
        deployment = self.deployment
        return (
            SessionMetricKind.DELAY
            if deployment.reports_message_delay and not deployment.reports_session_load
            else SessionMetricKind.LOAD
        )

    def sessions_by_server(self) -> Iterator[tuple[str, list[EstablishedSession]]]:
        servers: dict[str, list[EstablishedSession]] = {}
        for standing in self.established_sessions.values():
            servers.setdefault(standing.server, []).append(standing)
        yield from servers.items()
