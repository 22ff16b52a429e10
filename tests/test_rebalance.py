"""The planner of moves: its bounds under any pictures, and the cases in which nobody may be moved."""

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
from stoatgw.rebalance import FleetSnapshot, Planner, RebalanceLimits, ServerSnapshot, SessionSnapshot
from stoatgw.rebalance.rebalancer import Rebalancer
from tests.fleet import BalancerHarness
from tests.fleet import settings as plain

LIMITS = RebalanceLimits(enabled=True, part=0.9, rate=0.5, per_server=3, under_way=8)
SECOND = 1_000_000


def held(number: int, group: int | None = None) -> SessionSnapshot:
    return SessionSnapshot(f"{number:016x}", number, group, 1.0, 1.0)


def view(name: str, load: float, mine: int = 0, **fields: object) -> ServerSnapshot:
    first = sum(map(ord, name)) * 1000
    rows = tuple(held(first + number) for number in range(mine))
    base = {
        "near": True,
        "unit": 0.02,
        "count": float(max(mine, 20)),
        "age_us": 100_000,
        "share": 1.0,
        "under_way": 0,
        "ready": True,
        "mine": rows,
    }
    return ServerSnapshot(name=name, load=load, **(base | fields))  # type: ignore[arg-type]


def plan(*views: ServerSnapshot, limits: RebalanceLimits = LIMITS, steps: int = 1) -> list[str]:
    planner, moved = Planner(limits, 1), list[str]()
    for step in range(steps):
        moved += [f"{each.source}>{each.target}" for each in planner.plan(FleetSnapshot(step * SECOND, views))]
    return moved


def test_it_moves_from_the_full_to_the_empty() -> None:
    assert set(plan(view("full", 0.95, 20), view("empty", 0.2), view("middle", 0.5))) == {"full>empty"}


@pytest.mark.parametrize(
    "views",
    [
        (view("a", 0.95, 20), view("b", 0.9)),  # all over what is good: nobody is better off elsewhere
        (view("a", 0.95, 20),),
        (view("a", 0.55, 20), view("b", 0.1)),  # the fuller one is well served
        (view("a", 0.95, 20), view("b", 0.2, ready=False)),  # it stalls, fails, or is left out
        (view("a", 0.95, 20), view("b", 0.2, age_us=9 * SECOND)),  # its report is stale
        (view("a", 0.95, 20, age_us=9 * SECOND), view("b", 0.2)),
        (view("a", 0.95, 20), view("b", 0.05, share=0.2)),  # just started
        (view("a", 0.7, 20), view("b", 0.6)),  # the gap is not worth it
    ],
)
def test_it_moves_nobody_where_nothing_is_gained(views: tuple[ServerSnapshot, ...]) -> None:
    assert plan(*views, steps=20) == []


def test_it_moves_nobody_at_a_cost_over_the_gain() -> None:
    dear = RebalanceLimits(enabled=True, part=0.9, rate=0.5, cost_s=1e6)
    assert plan(view("full", 0.95, 20), view("empty", 0.2), limits=dear, steps=5) == []


def test_a_member_of_a_group_is_moved_only_where_that_frees_load() -> None:
    """Twenty of one group on the full server: whoever goes pays for the group anew at the other."""
    group = tuple(held(number, 7) for number in range(20))
    alone = tuple(held(number, number) for number in range(20))
    assert (
        plan(ServerSnapshot("a", True, 0.8, 0.1, 8.0, 0, 1.0, 0, True, group), view("b", 0.4, unit=0.1), steps=3) == []
    )
    assert plan(ServerSnapshot("a", True, 0.8, 0.1, 8.0, 0, 1.0, 0, True, alone), view("b", 0.3, unit=0.1), steps=3)


def test_many_proxies_together_do_not_pass_balance() -> None:
    """Twelve proxies with the same late picture: what they move in one step stays within the excess."""
    total = 0
    for seed in range(12):
        views = (view("a", 0.95, 5, count=60.0), view("b", 0.2), view("c", 0.3))
        total += len(Planner(LIMITS, seed).plan(FleetSnapshot(0, views)))
    assert 0 < total * 0.02 <= 0.95 - 0.48


class Steps(RuleBasedStateMachine):
    """Pictures in any order against one planner, and what it may never do."""

    @initialize(seed=st.integers(0, 5))
    def begin(self, seed: int) -> None:
        self.planner, self.twin = Planner(LIMITS, seed), Planner(LIMITS, seed)
        self.now_us = 0
        self.moved: list[tuple[int, int]] = []

    @rule(
        loads=st.lists(st.sampled_from([0.1, 0.3, 0.5, 0.8, 0.95, 1.4]), min_size=2, max_size=5),
        ready=st.sampled_from([31, 31, 29, 7, 0]),
        cold=st.sampled_from([0, 0, 2, 5]),
        stale=st.sampled_from([0, 0, 1, 4]),
        wait=st.sampled_from([200_000, SECOND, 70 * SECOND]),
    )
    def step(self, loads: list[float], ready: int, cold: int, stale: int, wait: int) -> None:
        self.now_us += wait
        views = tuple(
            view(
                f"s{place}",
                load,
                12,
                ready=bool(ready >> place & 1),
                share=0.3 if cold >> place & 1 else 1.0,
                age_us=9 * SECOND if stale >> place & 1 else 0,
            )
            for place, load in enumerate(loads)
        )
        picture = FleetSnapshot(self.now_us, views)
        moves = self.planner.plan(picture)
        assert moves == self.twin.plan(picture)
        by_name = {each.name: each for each in views}
        sources, targets = [each.source for each in moves], [each.target for each in moves]
        for each in moves:
            target, source = by_name[each.target], by_name[each.source]
            assert target.ready and target.age_us == 0 and target.share == 1.0 and source.load > LIMITS.over
            assert each.gain > each.cost and source.load - target.load >= LIMITS.gap
            key = next(row.key for row in source.mine if row.request == each.request)
            assert all(at <= self.now_us - LIMITS.again_us for old, at in self.moved if old == key)
            self.moved.append((key or 0, self.now_us))
        assert all(sources.count(name) <= LIMITS.per_server >= targets.count(name) for name in by_name)
        back = sum(at > self.now_us - LIMITS.back_us for _, at in self.moved)
        assert back <= LIMITS.under_way and len(moves) <= max(1, LIMITS.rate * 12 * len(views))

    @invariant()
    def ends(self) -> None:
        assert len(self.moved) <= 5 * 12 * (1 + self.now_us // LIMITS.again_us)


def test_no_bound_is_passed_whatever_the_pictures() -> None:
    run_state_machine_as_test(
        Steps, settings=settings(derandomize=True, max_examples=40, stateful_step_count=12, deadline=None)
    )


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.floats(0.0, 1.0), st.integers(0, 3))
def test_beliefs_become_a_picture(load: float, rank: int) -> None:
    config = plain(rank=rank)
    asked = Request("f" * 16, 1, 0, idempotency_key=9, group=4)
    belief = ServerEstimate("a", 0, load, 0.02, 10.0, 5, 1.0, 0, True, (asked,))
    picture = Rebalancer(LIMITS, config, 1).picture([belief], 7)
    assert (
        picture.servers[0].mine == (SessionSnapshot("f" * 16, 9, None, 0.2, 1.0),) and picture.servers[0].load == load
    )


def test_the_module_tells_its_beliefs_and_moves_once() -> None:
    stand = BalancerHarness()
    stand.list_servers(a=0, b=1)
    stand.report("a", 0.5, 10)
    stand.request(request_id="f" * 16)
    assert stand.balancer.estimates(stand.now_us)[0].own_sessions == ()
    stand.establish("f" * 16, "a")
    told = {each.server: each for each in stand.balancer.estimates(stand.now_us)}
    assert [asked.request_id for asked in told["a"].own_sessions] == ["f" * 16] and told["a"].load == pytest.approx(
        0.55
    )
    assert stand.balancer.migrate("f" * 16) == [Migrate("f" * 16)]
    assert stand.balancer.migrate("f" * 16) == [] == stand.balancer.migrate("0" * 16)


def test_a_decision_looks_at_each_server_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Listed twice, servers used up the places of others that should have been compared."""
    stand, seen = BalancerHarness(), list[str]()
    stand.list_servers(**{f"s{number}": 0 for number in range(7)})
    for number in range(7):
        stand.report(f"s{number}", 0.7, 10)
    expected_load = stand.context.estimator.expected_load

    def look(server: ServerState, added_units: float, now_us: int) -> float:
        seen.append(server.endpoint.name)
        return expected_load(server, added_units, now_us)

    monkeypatch.setattr(stand.context.estimator, "expected_load", look)
    for _ in range(20):
        seen.clear()
        stand.request()
        assert sorted(seen) == sorted(set(seen)) and len(seen) == 7


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("", "the file: "),
        ("version = 2", "version: "),
        ("version = 1\n[rebalnace]", "rebalnace: unknown field; nearest known name: rebalance"),
        ("version = 1\n[rebalance]\nover = 2.0", "rebalance.over: "),
        ("version = 1\n[rebalance]\nunder_wya = 2", "under_wya: unknown field; nearest known name: under_way"),
        ("version = [", "is no TOML"),
    ],
)
def test_a_bad_operators_file_is_one_line(tmp_path: Path, text: str, told: str) -> None:
    file = tmp_path / "stoatgw.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_operator_config(str(file))
    assert str(error.value).startswith(f"{file}: ") and told in str(error.value) and "\n" not in str(error.value)
    file.write_text("version = 1")
    assert load_operator_config(str(file)) == OperatorConfig(version=1)
    assert not load_operator_config(str(file)).rebalance.enabled
