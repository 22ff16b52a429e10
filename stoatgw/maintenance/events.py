"""The log events of a rolling maintenance."""

from __future__ import annotations

from enum import StrEnum

from stoatgw.membership.reconcile_loop import Condition


class RolloutEvent(StrEnum):
    """Changes of the rollout state, logged by the leader that wrote them."""

    ROLLOUT_STARTED = "maintenance_rollout_started"
    ROLLOUT_FINISHED = "maintenance_rollout_finished"
    STEP_STARTED = "maintenance_step_started"
    STEP_NOTIFIED = "maintenance_step_notified"
    STEP_EVACUATED = "maintenance_step_evacuated"
    STEP_COMPLETED = "maintenance_step_completed"
    STEP_TIMED_OUT = "maintenance_step_timed_out"
    STEP_RELEASED = "maintenance_step_released"


LEADERSHIP_ACQUIRED = "maintenance_leadership_acquired"
LEADERSHIP_LOST = "maintenance_leadership_lost"

ENGINE_DISCONNECTED = Condition("maintenance_engine_disconnected", "maintenance_engine_reconnected")
SNAPSHOT_REJECTED = Condition("maintenance_snapshot_rejected")
STALE_REVISION = Condition("maintenance_stale_revision_detected", "maintenance_stale_revision_resolved")
ROLLOUT_HALTED = Condition("maintenance_rollout_halted", "maintenance_rollout_resumed")
PLAN_MISMATCHED = Condition("maintenance_plan_mismatched", "maintenance_plan_matched")
ROLLOUT_BLOCKED = Condition("maintenance_rollout_blocked", "maintenance_rollout_unblocked")
STATE_FILE_READ_FAILED = Condition("maintenance_state_file_read_failed")
STATE_FILE_WRITE_FAILED = Condition("maintenance_state_file_write_failed", "maintenance_state_file_write_recovered")
RECONCILE_FAILED = Condition("maintenance_reconcile_failed")
