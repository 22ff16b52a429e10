"""Tests of the rebalancing planner: its limits for any snapshots, and the cases in which no session may migrate."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from stoatgw.config.errors import ConfigError
from stoatgw.config.operators import OperatorConfig, load_operator_config
from stoatgw.decisions.interface import Migrate, Request, ServerEstimate
from stoatgw.decisions.state.server_state import ServerState
from stoatgw.rebalance import FleetSnapshot, RebalanceLimits, RebalancePlanner, ServerSnapshot, SessionSnapshot
from stoatgw.rebalance.rebalancer import Rebalancer
from tests.balancer_harness import BalancerHarness
from tests.balancer_harness import settings as make_settings

LIMITS = RebalanceLimits(
    enabled=True, excess_fraction=0.9, migration_rate=0.5, max_migrations_per_server=3, max_migrations_in_flight=8
)
SECOND_US = 1_000_000
STALE_US = 9 * SECOND_US


def make_session(number: int, group: int | None = None) -> SessionSnapshot:
    return SessionSnapshot(f"{number:016x}", number, group, 1.0, 1.0)


def make_server(name: str, load: float, own_sessions: int = 0, **fields: object) -> ServerSnapshot:
    first = sum(map(ord, name)) * 1000
    defaults = {
        "load_per_connection": 0.02,
        "connections": float(max(own_sessions, 20)),
        "report_age_us": 100_000,
        "warm_up_fraction": 1.0,
        "setups_in_flight": 0,
        "is_healthy": True,
        "own_sessions": tuple(make_session(first + number) for number in range(own_sessions)),
    }
    return ServerSnapshot(name=name, load=load, **(defaults | fields))  # type: ignore[arg-type]


def plan(*servers: ServerSnapshot, limits: RebalanceLimits = LIMITS, steps: int = 1) -> list[str]:
    """Return the migrations of `steps` steps with the same servers, as SOURCE>TARGET."""
    planner = RebalancePlanner(limits, 1)
    migrations = []
    for step in range(steps):
        migrations += planner.plan(FleetSnapshot(step * SECOND_US, servers))
    return [f"{migration.source}>{migration.target}" for migration in migrations]


def test_sessions_migrate_from_an_overloaded_server_to_an_idle_one() -> None:
    servers = (make_server("full", 0.95, 20), make_server("empty", 0.2), make_server("middle", 0.5))
    assert set(plan(*servers)) == {"full>empty"}


@pytest.mark.parametrize(
    "servers",
    [
        (make_server("a", 0.95, 20), make_server("b", 0.9)),  # both overloaded: no migration gains anything
        (make_server("a", 0.95, 20),),
        (make_server("a", 0.55, 20), make_server("b", 0.1)),  # the more loaded server is below the threshold
        (make_server("a", 0.95, 20), make_server("b", 0.2, is_healthy=False)),  # stalled, failing or ejected
        (make_server("a", 0.95, 20), make_server("b", 0.2, report_age_us=STALE_US)),
        (make_server("a", 0.95, 20, report_age_us=STALE_US), make_server("b", 0.2)),
        (make_server("a", 0.95, 20), make_server("b", 0.05, warm_up_fraction=0.2)),  # the target has just started
        (make_server("a", 0.7, 20), make_server("b", 0.6)),  # the difference of the loads is too small
    ],
)
def test_no_session_migrates_without_a_gain(servers: tuple[ServerSnapshot, ...]) -> None:
    assert plan(*servers, steps=20) == []


def test_no_session_migrates_if_the_cost_exceeds_the_gain() -> None:
    limits = RebalanceLimits(enabled=True, excess_fraction=0.9, migration_rate=0.5, migration_cost_s=1e6)
    assert plan(make_server("full", 0.95, 20), make_server("empty", 0.2), limits=limits, steps=5) == []


def test_a_session_of_a_group_migrates_only_if_that_frees_load() -> None:
    """With twenty sessions of one group, a migration adds the group's load to the target and frees none of it."""
    one_group = tuple(make_session(number, 7) for number in range(20))
    own_groups = tuple(make_session(number, number) for number in range(20))
    grouped = ServerSnapshot("a", 0.8, 0.1, 8.0, 0, 1.0, 0, True, one_group)
    separate = ServerSnapshot("a", 0.8, 0.1, 8.0, 0, 1.0, 0, True, own_groups)
    assert plan(grouped, make_server("b", 0.4, load_per_connection=0.1), steps=3) == []
    assert plan(separate, make_server("b", 0.3, load_per_connection=0.1), steps=3)


def test_many_proxies_together_do_not_overshoot_balance() -> None:
    """Guards against twelve proxies that migrate more than the excess in one step, all on the same snapshot."""
    migrations = 0
    for seed in range(12):
        servers = (make_server("a", 0.95, 5, connections=60.0), make_server("b", 0.2), make_server("c", 0.3))
        migrations += len(RebalancePlanner(LIMITS, seed).plan(FleetSnapshot(0, servers)))
    assert 0 < migrations * 0.02 <= 0.95 - 0.48


class PlannerSteps(RuleBasedStateMachine):
    """Passes random snapshots to one planner and checks its limits after each step."""

    @initialize(seed=st.integers(0, 5))
    def begin(self, seed: int) -> None:
        self.planner = RebalancePlanner(LIMITS, seed)
        self.replica = RebalancePlanner(LIMITS, seed)
        self.now_us = 0
        self.migrated: list[tuple[int, int]] = []  # client, time of migration

    @rule(
        loads=st.lists(st.sampled_from([0.1, 0.3, 0.5, 0.8, 0.95, 1.4]), min_size=2, max_size=5),
        healthy=st.sampled_from([31, 31, 29, 7, 0]),
        warming_up=st.sampled_from([0, 0, 2, 5]),
        stale=st.sampled_from([0, 0, 1, 4]),
        wait_us=st.sampled_from([200_000, SECOND_US, 70 * SECOND_US]),
    )
    def step(self, loads: list[float], healthy: int, warming_up: int, stale: int, wait_us: int) -> None:
        self.now_us += wait_us
        servers = tuple(
            make_server(
                f"s{index}",
                load,
                12,
                is_healthy=bool(healthy >> index & 1),
                warm_up_fraction=0.3 if warming_up >> index & 1 else 1.0,
                report_age_us=STALE_US if stale >> index & 1 else 0,
            )
            for index, load in enumerate(loads)
        )
        fleet = FleetSnapshot(self.now_us, servers)
        migrations = self.planner.plan(fleet)
        assert migrations == self.replica.plan(fleet)
        by_name = {server.name: server for server in servers}
        sources = [migration.source for migration in migrations]
        targets = [migration.target for migration in migrations]
        for migration in migrations:
            target = by_name[migration.target]
            source = by_name[migration.source]
            assert target.is_healthy
            assert target.report_age_us == 0
            assert target.warm_up_fraction == 1.0
            assert source.load > LIMITS.overload_threshold
            assert migration.gain > migration.cost
            assert source.load - target.load >= LIMITS.min_load_gap
            client = next(
                session.idempotency_key for session in source.own_sessions if session.request_id == migration.request_id
            )
            since_us = self.now_us - LIMITS.min_remigration_interval_us
            assert all(at_us <= since_us for other, at_us in self.migrated if other == client)
            self.migrated.append((client or 0, self.now_us))
        for name in by_name:
            assert sources.count(name) <= LIMITS.max_migrations_per_server
            assert targets.count(name) <= LIMITS.max_migrations_per_server
        in_flight = sum(at_us > self.now_us - LIMITS.reconnect_window_us for _, at_us in self.migrated)
        assert in_flight <= LIMITS.max_migrations_in_flight
        assert len(migrations) <= max(1, LIMITS.migration_rate * 12 * len(servers))

    @invariant()
    def each_client_migrates_once_per_interval(self) -> None:
        intervals = 1 + self.now_us // LIMITS.min_remigration_interval_us
        assert len(self.migrated) <= 5 * 12 * intervals


def test_the_limits_hold_for_any_snapshots() -> None:
    run_state_machine_as_test(
        PlannerSteps, settings=settings(derandomize=True, max_examples=40, stateful_step_count=12, deadline=None)
    )


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.floats(0.0, 1.0), st.integers(0, 3))
def test_estimates_are_converted_to_a_snapshot(load: float, rank: int) -> None:
    request = Request("f" * 16, 1, 0, idempotency_key=9, group=4)
    estimate = ServerEstimate("a", 0, load, 0.02, 10.0, 5, 1.0, 0, True, (request,))
    snapshot = Rebalancer(LIMITS, make_settings(rank=rank), 1).build_snapshot([estimate], 7)
    assert snapshot.servers[0].own_sessions == (SessionSnapshot("f" * 16, 9, None, 0.2, 1.0),)
    assert snapshot.servers[0].load == load


def test_the_decisions_publish_estimates_and_migrate_a_session_once() -> None:
    balancer_harness = BalancerHarness()
    balancer_harness.list_servers(a=0, b=1)
    balancer_harness.report("a", 0.5, 10)
    balancer_harness.request(request_id="f" * 16)
    assert balancer_harness.balancer.estimates(balancer_harness.now_us)[0].own_sessions == ()
    balancer_harness.establish("f" * 16, "a")
    estimates = {estimate.server: estimate for estimate in balancer_harness.balancer.estimates(balancer_harness.now_us)}
    assert [request.request_id for request in estimates["a"].own_sessions] == ["f" * 16]
    assert estimates["a"].load == pytest.approx(0.55)
    assert balancer_harness.balancer.migrate("f" * 16) == [Migrate("f" * 16)]
    assert balancer_harness.balancer.migrate("f" * 16) == []
    assert balancer_harness.balancer.migrate("0" * 16) == []


def test_a_decision_evaluates_each_server_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against servers that were candidates twice, in place of others that should have been compared."""
    balancer_harness = BalancerHarness()
    evaluated: list[str] = []
    balancer_harness.list_servers(**{f"s{number}": 0 for number in range(7)})
    for number in range(7):
        balancer_harness.report(f"s{number}", 0.7, 10)
    expected_load = balancer_harness.context.estimator.expected_load

    def record_and_evaluate(server: ServerState, added_units: float, now_us: int) -> float:
        evaluated.append(server.endpoint.name)
        return expected_load(server, added_units, now_us)

    monkeypatch.setattr(balancer_harness.context.estimator, "expected_load", record_and_evaluate)
    for _ in range(20):
        evaluated.clear()
        balancer_harness.request()
        assert sorted(evaluated) == sorted(set(evaluated))
        assert len(evaluated) == 7


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "the file: "),
        ("version = 2", "version: "),
        ("version = 1\n[rebalnace]", "rebalnace: unknown field; nearest known name: rebalance"),
        ("version = 1\n[rebalance]\nover = 2.0", "rebalance.over: "),
        ("version = 1\n[rebalance]\nunder_wya = 2", "under_wya: unknown field; nearest known name: under_way"),
        ("version = [", "is not TOML"),
    ],
)
def test_an_invalid_operators_file_is_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    file = tmp_path / "stoatgw.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load_operator_config(str(file))
    assert str(caught.value).startswith(f"{file}: ")
    assert expected in str(caught.value)
    assert "\n" not in str(caught.value)
    assert caught.value.file == str(file)
    file.write_text("version = 1")
    assert load_operator_config(str(file)) == OperatorConfig(version=1)
    assert not load_operator_config(str(file)).rebalance.enabled


def test_the_operators_file_keeps_its_field_names(tmp_path: Path) -> None:
    """Operators use these names in their files: a rename in the code must not change them."""
    file = tmp_path / "stoatgw.toml"
    names = (
        "enabled step_us over gap warm rate per_server per_group under_way again_us back_us fresh_us cost_s "
        "horizon_s sharpness part"
    )
    assert list(RebalanceLimits.__struct_encode_fields__) == names.split()
    file.write_text(
        "version = 1\n[rebalance]\nover = 0.5\nunder_way = 3\n[membership]\nengine = ['127.0.0.1:1']\n[sharing]"
    )
    config = load_operator_config(str(file))
    assert config.rebalance.overload_threshold == 0.5
    assert config.rebalance.max_migrations_in_flight == 3
    assert config.shared_health_checks is not None
