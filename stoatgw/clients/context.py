"""State and services shared by the client sessions of a proxy."""

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
    """Which of a session's two connections: the client's or the server's."""

    CLIENT = "client"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Peer:
    """One open connection of a session.

    Attributes:
        side: The peer at the other end of the connection.
        descriptor: The file descriptor of the connection.
        is_blocked: The connection is not read, as earlier data from it is still being sent to the other side.
    """

    side: PeerSide
    descriptor: int
    is_blocked: bool


class MonitoredRelay(Protocol):
    """The relay of an established session, as the session monitor and the shutdown use it."""

    def peers(self) -> Iterator[Peer]:
        """Yield the open connections of the session."""
        ...

    def end_if_blocked_client_reset(self) -> None:
        """End the session if the client has reset its connection while the server does not read."""
        ...

    def abandon_server(self) -> None:
        """Migrate the session because its server is considered unresponsive."""
        ...

    def migrate_now(self) -> None:
        """Migrate the session without waiting for the end of a partial line of the server, as the process ends."""
        ...


@dataclass(slots=True, eq=False)
class EstablishedSession:
    """An established session, as the session monitor sees it.

    Attributes:
        state: The controller's state of the request.
        server: The server that the session is connected to.
        latency: The latency of its messages.
        session_state: The state of the session, such as whether a send to the client is in progress.
        relay: The relay, which migrates or ends the session.
    """

    state: RequestState
    server: str
    latency: MessageLatencyTracker
    session_state: SessionState
    relay: MonitoredRelay


@dataclass(slots=True, eq=False)
class ProxyContext:
    """Everything that client sessions use but do not own. All of it is used from the one event loop.

    Attributes:
        deployment: The platform's settings, read at startup.
        controller: Owns the balancer and the state of all requests; sessions only post messages to it.
        backends: The known servers, kept up to date by discovery and suspensions; sessions only read it.
        clock: The clock for all timestamps and deadlines.
        load_report_row: Converts a server's load report into the columns that the settings name.
        counters: Incremented by the code that observes the event.
        log: Written by the code that observes the event.
        rate_limited_log: The same log, for events that misbehaving clients could cause without limit.
        descriptor_limiter: Owned by this package; hot restart sets the number of descriptors of sibling processes.
        request_ids: Owned by this package: request readers register ids, sessions mark them as ended.
        established_sessions: By request id. Owned by this package: an attempt adds its session and removes it again;
            the session monitor, maintenance and management only read it.
        pending_restores: Callbacks that reject requests whose sessions are still to be restored, by request id.
        lifecycle: Changed by the service on signals, and by management and maintenance; sessions only read it.
        class_indexes: Indexes of the settings' request classes, by name.
        tenant_indexes: Indexes of the settings' tenants, by name.
        metrics: Metrics for operators. Updated by sessions, rendered by management.
        request_field_pattern: The pattern that a field of a client's first line has to match.
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
        """Whether clients are accepted: not while draining, and not before the first endpoint list is received."""
        return self.backends.has_endpoints and self.lifecycle.accepts_clients

    @property
    def load_line_kind(self) -> SessionMetricKind:
        """The metric that a server's LOAD lines report, which depends on the settings alone: see docs/status.md."""
        if self.deployment.reports_message_latency and not self.deployment.reports_session_load:
            return SessionMetricKind.LATENCY
        return SessionMetricKind.LOAD

    def sessions_by_server(self) -> Iterator[tuple[str, list[EstablishedSession]]]:
        """Yield each server with its established sessions, ordered by when its first session was established."""
        servers: dict[str, list[EstablishedSession]] = {}
        for session in self.established_sessions.values():
            servers.setdefault(session.server, []).append(session)
        yield from servers.items()
