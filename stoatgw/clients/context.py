"""What the client sessions of a proxy share."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from stoatgw.backends.backend import BackendRegistry
from stoatgw.backends.latency import MessageLatencyTracker
from stoatgw.clients.descriptor_limiter import DescriptorLimiter
from stoatgw.clients.recent_ids import RecentIds
from stoatgw.clients.session_state import SessionState
from stoatgw.clock import Clock
from stoatgw.config.deployment import Deployment
from stoatgw.controller.controller import Controller
from stoatgw.controller.lifecycle import ProxyLifecycle
from stoatgw.controller.messages import RequestState
from stoatgw.decisions.interface import SessionMetricKind
from stoatgw.line_protocol.grammar import field_pattern
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog, RateLimitedLog
from stoatgw.telemetry.metrics import RequestMetrics


class PeerSide(Enum):
    """Whose connection one of a session's two connections is."""

    CLIENT = "client"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Peer:
    """One open connection of a session.

    Attributes:
        side: Whose it is.
        descriptor: Its descriptor.
        is_blocked: What it has sent is not read, as the other side does not take what it was sent before.
    """

    side: PeerSide
    descriptor: int
    is_blocked: bool


class MonitoredRelay(Protocol):
    """The relay of an established session, for those who have no business with the controller."""

    def peers(self) -> Iterator[Peer]:
        """Gives the open connections of the session."""
        ...

    def end_if_blocked_client_reset(self) -> None:
        """Ends the session of a client that has reset its connection while its server takes nothing."""
        ...

    def abandon_server(self) -> None:
        """Migrates the session, as its server is taken to be unresponsive."""
        ...

    def migrate_now(self) -> None:
        """Migrates the session without waiting for a line that its server has begun, as the process ends."""
        ...


@dataclass(slots=True, eq=False)
class EstablishedSession:
    """An established session, as the session monitor sees it.

    Attributes:
        state: Its request.
        server: The server that it is connected to.
        latency: The times of its messages.
        session_state: Whether its client takes what it is sent, among others.
        relay: Migrates or ends it.
    """

    state: RequestState
    server: str
    latency: MessageLatencyTracker
    session_state: SessionState
    relay: MonitoredRelay


@dataclass(slots=True, eq=False)
class ProxyContext:
    """Everything that client sessions use but do not own. All of it lives in the one event loop.

    Attributes:
        deployment: The platform's settings, read at the start.
        controller: Owns the balancer and the state of all requests; sessions only post messages to it.
        backends: The known servers, kept up to date by discovery and suspensions; sessions only read it.
        clock: The time.
        load_report_row: Turns a server's load report into the columns that the settings name.
        counters: Counted by whoever sees the event.
        log: Written by whoever sees the event.
        rate_limited_log: The same log, for events that bad clients could cause without limit.
        descriptor_limiter: Owned by this package; hot restart exchanges the figures of sibling processes through it.
        request_ids: Owned by this package: request readers register ids, sessions mark them as ended.
        established_sessions: By request id. Owned by this package: an attempt adds its session and removes it again;
            the session monitor, maintenance and management only read it.
        pending_restores: Requests whose sessions are still to be restored, by id; each is called to reject its request.
        lifecycle: Changed by the service on signals, and by management and maintenance; sessions only read it.
        class_indexes: The settings' classes by name.
        tenant_indexes: The settings' tenants by name.
        metrics: What operators read. Counted by sessions, rendered by management.
        request_field_pattern: How a field of a client's first line reads.
    """

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
    pending_restores: dict[str, Callable[[], None]] = field(default_factory=dict)
    lifecycle: ProxyLifecycle = field(default_factory=ProxyLifecycle)
    class_indexes: dict[str, int] = field(default_factory=dict)
    tenant_indexes: dict[str, int] = field(default_factory=dict)
    metrics: RequestMetrics = field(init=False)
    request_field_pattern: re.Pattern[bytes] = field(init=False)
    rate_limited_log: RateLimitedLog = field(init=False)

    def __post_init__(self) -> None:
        self.class_indexes = {profile.name: index for index, profile in enumerate(self.deployment.settings.profiles)}
        self.tenant_indexes = {name: index for index, name in enumerate(self.deployment.settings.tenants)}
        self.metrics = RequestMetrics(self.class_indexes)
        self.rate_limited_log = RateLimitedLog(self.log, self.clock)
        self.request_field_pattern = field_pattern([*self.class_indexes, *self.tenant_indexes])

    @property
    def is_ready(self) -> bool:
        """Whether clients are accepted: not while draining, and not before the first endpoint list."""
        return self.backends.has_endpoints and self.lifecycle.accepts_clients

    @property
    def load_line_kind(self) -> SessionMetricKind:
        """What a LOAD line of a server reports, by the settings alone: see docs/status.md."""
        if self.deployment.reports_message_delay and not self.deployment.reports_session_load:
            return SessionMetricKind.DELAY
        return SessionMetricKind.LOAD

    def sessions_by_server(self) -> Iterator[tuple[str, list[EstablishedSession]]]:
        """The established sessions of each server, in the order in which the first of each was established."""
        servers: dict[str, list[EstablishedSession]] = {}
        for session in self.established_sessions.values():
            servers.setdefault(session.server, []).append(session)
        yield from servers.items()
