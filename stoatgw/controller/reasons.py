"""Reasons for final answers and migrations, as written to the log's `why` field. No code depends on the texts."""

from __future__ import annotations

from enum import Enum


class AnswerReason(Enum):
    """The reason why a request was rejected or failed."""

    POLICY = "the balancer selected no session server"
    DRAINING = "the proxy is draining"
    DEADLINE = "the deadline of the request has passed"
    DRAIN_ADMISSION_ENDED = "the drain stopped admitting requests before the session was established"
    POLICY_CRASHED = "the decision policy raised an exception"
    RESTORE_FAILED = "the session could not be restored"


class MigrationReason(Enum):
    """The reason why an established session is migrated."""

    DRAIN = "the proxy is draining"
    SERVER_SUSPENDED = "the session server is suspended"
    POLICY = "the balancer moves load to another session server"
    SERVER_UNRESPONSIVE = "the session server does not respond"
