"""Compatibility of stored values and files: samples written at commit f58f876 are read, and written as the same bytes.

The samples are rollout states, member statuses, published health checks, a state file and a plan. During an upgrade
processes of both versions share one coordination engine.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.maintenance.keys import MaintenanceKeys, MemberStatus
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStep, StepState, decode, encode
from stoatgw.maintenance.state_file import RolloutStateFile
from stoatgw.shared_health_checks.published import PublishedHealthCheck

SAMPLES = Path(__file__).parent / "samples" / "stored_rollouts"
FIRST_PROXY = "n0-0a1b2c3d4e5f"
SECOND_PROXY = "n1-a1b2c3d4e5f6"
STEPS = {
    "s-done": RolloutStep(
        state=StepState.DONE,
        token=41,
        started_at_ms=1764640000123,
        machine_start_ms=1764600000000,
        expected_members=(FIRST_PROXY, SECOND_PROXY),
        is_notified=True,
        is_evacuated=True,
    ),
    "s-late": RolloutStep(
        state=StepState.LATE,
        token=41,
        started_at_ms=1764640031000,
        machine_start_ms=1764600000001,
        expected_members=(FIRST_PROXY,),
        is_notified=True,
    ),
    "proxy/n1": RolloutStep(
        state=StepState.RELEASED,
        token=57,
        started_at_ms=1764640062000,
        machine_start_ms=1764600000002,
        expected_members=(),
    ),
    "s-out": RolloutStep(
        state=StepState.OUT_OF_SERVICE,
        token=57,
        started_at_ms=1764640093000,
        machine_start_ms=1764600000003,
        expected_members=(FIRST_PROXY, SECOND_PROXY),
        is_notified=True,
        is_evacuated=True,
    ),
}
ENDED_STEPS = {name: step for name, step in STEPS.items() if step.state is not StepState.OUT_OF_SERVICE}


@pytest.mark.parametrize(
    ("sample", "state"),
    [
        ("rollout-begun", RolloutState(plan_fingerprint="0123456789abcdef")),
        ("rollout-running", RolloutState(plan_fingerprint="0123456789abcdef", steps=STEPS)),
        (
            "rollout-aborted",
            RolloutState(plan_fingerprint="0123456789abcdef", steps=ENDED_STEPS, is_aborted=True),
        ),
        (
            "rollout-finished",
            RolloutState(plan_fingerprint="0123456789abcdef", steps={"s-done": STEPS["s-done"]}, is_finished=True),
        ),
    ],
)
def test_rollout_state_is_read_and_written_as_the_same_bytes(sample: str, state: RolloutState) -> None:
    stored = (SAMPLES / sample).read_bytes()
    assert decode(stored) == state
    assert encode(state) == stored


@pytest.mark.parametrize(
    ("sample", "status"),
    [
        (
            "member-status",
            MemberStatus("n1", 1764600000004, ("proxy/n1", "s-late", "s-out"), ("s-out",)),
        ),
        ("member-status-idle", MemberStatus("n0", 1764600000005)),
    ],
)
def test_member_status_is_read_and_written_as_the_same_bytes(sample: str, status: MemberStatus) -> None:
    stored = (SAMPLES / sample).read_bytes()
    assert msgspec.json.decode(stored, type=MemberStatus) == status
    assert msgspec.json.encode(status) == stored


def test_published_health_checks_are_read_and_written_as_the_same_bytes() -> None:
    stored = (SAMPLES / "published-health-checks").read_bytes()
    published = {
        f"s-{index}": PublishedHealthCheck(
            index + 7, 12 * index, status, 300 + index, (0.4, None, 20.0) if index % 2 else ()
        )
        for index, status in enumerate(AttemptStatus)
    }
    assert msgspec.json.decode(stored, type=dict[str, PublishedHealthCheck]) == published
    assert msgspec.json.encode(published) == stored
    first = msgspec.json.decode(stored, type=dict[str, PublishedHealthCheck])["s-1"]
    assert first.number == 8
    assert first.age_ms == 12
    assert first.status is AttemptStatus.APP_ERROR
    assert first.elapsed_us == 301
    assert first.load_report == (0.4, None, 20.0)


def test_the_state_file_is_read_and_written_under_the_same_name_as_the_same_bytes(tmp_path: Path) -> None:
    state = RolloutState(plan_fingerprint="fedcba9876543210", steps=STEPS, is_aborted=True)
    assert RolloutStateFile(SAMPLES, "2026-12-kernel").load() == state
    RolloutStateFile(tmp_path, "2026-12-kernel").save(state)
    [written] = tmp_path.iterdir()
    assert written.name == "stoatgw-maintenance-2026-12-kernel"
    assert written.read_bytes() == (SAMPLES / written.name).read_bytes()


def test_the_keys_at_the_engine_are_unchanged() -> None:
    keys = MaintenanceKeys("dk-main", "2026-12-kernel")
    assert keys.prefix == "dk-main/maintenance/2026-12-kernel/"
    assert keys.rollout == "dk-main/maintenance/2026-12-kernel/ledger"
    assert keys.leader_lease == "dk-main/maintenance/2026-12-kernel/duty"
    assert keys.member(FIRST_PROXY) == "dk-main/maintenance/2026-12-kernel/members/n0-0a1b2c3d4e5f"
    assert keys.member_status(FIRST_PROXY) == "dk-main/maintenance/2026-12-kernel/told/n0-0a1b2c3d4e5f"


def test_a_plans_fields_and_fingerprint_are_unchanged() -> None:
    """If two versions computed different fingerprints, each would reject the other's rollout as another plan's."""
    stored = (SAMPLES / "plan.toml").read_bytes()
    plan = MaintenancePlan(
        name="2026-12-kernel",
        machines=("s-done", "proxy/n1"),
        max_unavailable_servers=2,
        max_zone_fraction=0.5,
        max_unavailable_proxies=2,
        min_members=3,
        completion="empty",
        step_timeout_s=120.0,
        min_evacuated_s=30.0,
        settle_s=5.0,
        member_loss_timeout_s=7.0,
    )
    assert msgspec.toml.decode(stored, type=MaintenancePlan) == plan
    assert msgspec.toml.encode(plan) == stored
    assert plan.fingerprint == "95227260411216f2"
    assert MaintenancePlan(name="p", machines=("s-0",)).fingerprint == "6b6a323f78a8e67d"
