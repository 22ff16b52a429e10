"""The interface of the decisions: settings, events, actions and estimates, importable from one module.

The types do not depend on any wire format. All times are in microseconds of the caller's clock and have names that end
in `_us`. Zones, request classes, tenants and machine kinds are indices into the lists of the settings.
"""

from __future__ import annotations

from stoatgw.decisions.actions import (
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
from stoatgw.decisions.events import (
    AttemptEstablished,
    AttemptOutcome,
    AttemptStatus,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    HealthCheckResult,
    Lifecycle,
    PeerMessage,
    Request,
    SessionMetric,
    SessionMetricKind,
    SessionRestored,
    TimerExpired,
)
from stoatgw.decisions.server_estimate import (
    ServerEstimate,
)
from stoatgw.decisions.settings import (
    Idempotency,
    KeyScope,
    RequestClass,
    Settings,
    SettingsError,
)

__all__ = [
    "Action",
    "AttemptEstablished",
    "AttemptOutcome",
    "AttemptStatus",
    "Cancel",
    "CheckHealth",
    "ClientDisconnected",
    "CloseIdle",
    "Endpoint",
    "EndpointUpdate",
    "EndpointUpdateKind",
    "Event",
    "Fail",
    "FetchEndpoints",
    "Gossip",
    "HealthCheckResult",
    "Idempotency",
    "KeyScope",
    "Lifecycle",
    "Log",
    "Migrate",
    "PeerMessage",
    "Reject",
    "Request",
    "RequestClass",
    "Send",
    "ServerEstimate",
    "SessionMetric",
    "SessionMetricKind",
    "SessionRestored",
    "SetTimer",
    "Settings",
    "SettingsError",
    "Subscribe",
    "TimerExpired",
]
