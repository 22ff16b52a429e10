"""Executes the actions of the decision policy."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from stoatgw.controller.attempts import AttemptTracker
from stoatgw.controller.migrations import SessionMigrator
from stoatgw.controller.requests import RequestTable
from stoatgw.controller.timers import PolicyTimers
from stoatgw.decisions.interface import (
    Action,
    Cancel,
    CheckHealth,
    CloseIdle,
    Fail,
    FetchEndpoints,
    Gossip,
    Log,
    Migrate,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from stoatgw.telemetry.log import EventLog


class BackendGateway(Protocol):
    """Access to the session servers and discovery, for the policy's actions."""

    def check_health(self, server: str) -> None:
        """Start a health check; its result is posted as `HealthCheckCompleted`."""
        ...

    def close_idle(self, server: str) -> None:
        """Close the idle health check connection to a server, if there is one."""
        ...

    def fetch_endpoints(self) -> None:
        """Request the full endpoint list, which is posted as `EndpointsUpdated`."""
        ...


class ActionExecutor:
    """Dispatches each action to the component that executes it.

    Called from the controller's task only. Actions that need the gateway are dropped until `connect` is called.
    """

    def __init__(
        self,
        requests: RequestTable,
        attempts: AttemptTracker,
        migrations: SessionMigrator,
        timers: PolicyTimers,
        log: EventLog,
    ) -> None:
        self._log = log
        self._gateway: BackendGateway | None = None
        self._performers: dict[type[Action], Callable[[Any], None]] = {
            Send: attempts.perform_send,
            Cancel: attempts.perform_cancel,
            Reject: requests.perform_reject,
            Fail: requests.perform_fail,
            Migrate: migrations.perform_migrate,
            SetTimer: timers.perform_set_timer,
            CheckHealth: self._check_health,
            CloseIdle: self._close_idle,
            FetchEndpoints: self._fetch_endpoints,
            Log: self._write_log,
            Subscribe: self._ignore,  # discovery always watches the endpoint list
            Gossip: self._ignore,  # proxies exchange no messages of the policy
        }

    def connect(self, gateway: BackendGateway) -> None:
        """Set the gateway to the session servers and discovery."""
        self._gateway = gateway

    def perform(self, actions: Iterable[Action]) -> None:
        """Execute the actions in order."""
        for action in actions:
            self._performers[type(action)](action)

    def _check_health(self, action: CheckHealth) -> None:
        if self._gateway is not None:
            self._gateway.check_health(action.server)

    def _close_idle(self, action: CloseIdle) -> None:
        if self._gateway is not None:
            self._gateway.close_idle(action.server)

    def _fetch_endpoints(self, _action: FetchEndpoints) -> None:
        if self._gateway is not None:
            self._gateway.fetch_endpoints()

    def _write_log(self, action: Log) -> None:
        self._log.event("decision_logged", text=action.message)

    def _ignore(self, _action: Subscribe | Gossip) -> None:
        pass
