"""The actions that a balancer returns for an event; its caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt that times out at `deadline_us`."""

    request_id: str
    server: str
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, and the client may repeat the request; `retry_after_us` is 0 if no delay is advised."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may or may not have run."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Migrate:
    """Close an established connection cleanly so that its client reconnects."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open (`is_wanted`) or close the subscription to the endpoint list."""

    is_wanted: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer that causes a `TimerExpired` event with `token` at `at_us`."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check a server's health and read its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Gossip:
    """Send a message to one peer, or to all peers if `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

    message: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | Migrate
    | Subscribe
    | FetchEndpoints
    | SetTimer
    | CheckHealth
    | CloseIdle
    | Gossip
    | Log
)
