"""The actions that a balancer answers events with, for its caller to carry out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it is given up at `cut_at_us`."""

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
    """Final answer: turned away, a repeat is harmless. Zero means no advice."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Migrate:
    """Close a standing connection cleanly; its client comes back."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close the subscription to the server list."""

    is_wanted: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask once for the whole server list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue at a time of the clock."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check on a server and read its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Give back idle connections to a server."""

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
