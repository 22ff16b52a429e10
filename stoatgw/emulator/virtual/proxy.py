"""One modelled proxy process: the real controller, and the state of its sessions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from stoatgw.backends.backend import BackendRegistry
from stoatgw.controller.controller import Controller
from stoatgw.controller.messages import RequestState
from stoatgw.decisions.interface import AttemptStatus, Settings
from stoatgw.emulator.virtual.event_loop import ProcessEventLoop
from stoatgw.emulator.world.server_model import ServerModel
from stoatgw.emulator.world.streams import UniformSource


class HostedSession(Protocol):
    """A session as its proxy's process and the servers affect it."""

    name: str
    request_state: RequestState
    server: ServerModel | None  # of an attempt in flight, or of the established session
    is_known_to_controller: bool

    def server_ended(self, how: str, status: AttemptStatus) -> None:
        """Its server closed the connection, or died."""

    def lose_server(self) -> None:
        """Nothing arrives from its server any more."""

    def proxy_ended(self, how: str) -> None:
        """The proxy's process was stopped or killed."""


@dataclass(eq=False)
class VirtualProxy:
    """One modelled proxy process; a restart makes a new one under the same name."""

    index: int
    name: str
    zone: int
    loop: ProcessEventLoop
    controller: Controller
    backends: BackendRegistry
    settings: Settings
    random: UniformSource
    task: asyncio.Task[None] | None = None
    has_ended: bool = False
    sessions: dict[str, HostedSession] = field(default_factory=dict)
    established: dict[str, dict[str, HostedSession]] = field(default_factory=dict)  # by server
    pending_health_checks: set[str] = field(default_factory=set)
    slow_servers: set[str] = field(default_factory=set)  # of which the controller was told a high latency
