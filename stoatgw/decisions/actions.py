"""The actions that a balancer answers events with, for its caller to carry out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt, which times out at `deadline_us`."""

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
    """Final answer: rejected, a repeat is harmless; `retry_after_us` is zero without advice."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Migrate:
    """Close an established connection cleanly; its client reconnects."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close the subscription to the endpoint list."""

    is_wanted: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer: a `TimerExpired` is due at a time of the clock."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check a server's health and read its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Gossip:
    """A message to one peer, or to all of them where `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

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
