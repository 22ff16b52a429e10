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
    """A session, as its proxy's process and the servers see it."""

    name: str
    request_state: RequestState
    server: ServerModel | None  # of the attempt in flight, or of the established session
    is_known_to_controller: bool

    def server_ended(self, end_kind: str, status: AttemptStatus) -> None:
        """Handle the end of the connection by the server, or of the server's process."""

    def mark_server_unreachable(self) -> None:
        """Handle the loss of the network to the server: nothing more is received from it."""

    def proxy_ended(self, end_kind: str) -> None:
        """Handle the end of the proxy's process; `end_kind` is `stopped` or `killed`."""


@dataclass(eq=False)
class VirtualProxy:
    """One modelled proxy process; a restart creates a new one with the same name."""

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
    slow_servers: set[str] = field(default_factory=set)  # whose high latency was reported to the controller last time
