"""Why the controller gives an answer or migrates a session: texts for the log, on which nothing is decided."""

from __future__ import annotations

from enum import Enum


class AnswerReason(Enum):
    """Why a request was rejected or failed, as the log has it."""

    POLICY = "no server was admitted"
    DRAINING = "the proxy drains"
    DEADLINE = "its deadline has passed"
    DRAIN_ADMISSION_ENDED = "it waited as the drain stopped admitting"
    POLICY_CRASHED = "the decisions crashed"
    RESTORE_FAILED = "its session could not be restored"


class MigrationReason(Enum):
    """Why an established session is migrated, as the log has it."""

    DRAIN = "the proxy drains"
    SERVER_SUSPENDED = "its server is suspended"
    POLICY = "the load is moved elsewhere"
    SERVER_UNRESPONSIVE = "its server answers nothing"
