"""Probing shared among proxies: who has what, who stands in, and what that means for each server, in virtual time."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.config.errors import ConfigError
from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.operators import load_operator_config
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.emulator.loopback.maintenance_run import MaintenanceRun
from stoatgw.lab.sharing import Fleet
from stoatgw.membership.rendezvous import SLACK, assign, order

FIXED = settings(derandomize=True, deadline=None, max_examples=60)
NAMES = st.sets(st.text("abcdefgh", min_size=1, max_size=5), min_size=2, max_size=12)


@FIXED
@given(NAMES, st.integers(1, 200), st.data())
def test_one_that_is_lost_moves_little_but_its_share(members: set[str], count: int, data: st.DataObject) -> None:
    duties = [f"s-{place}" for place in range(count)]
    before = assign(duties, dict.fromkeys(members, 1.0))
    most = -(-SLACK * count // len(members))
    assert all(held <= most for held in Counter(near[0] for near in before.values()).values())
    assert all(sorted(near) == sorted(members) for near in before.values())
    lost = data.draw(st.sampled_from(sorted(members)))
    after = assign(duties, dict.fromkeys(members - {lost}, 1.0))
    moved = [duty for duty in duties if before[duty][0] != after[duty][0] and before[duty][0] != lost]
    # A bound that grows with the loss frees some places near the top: those who had been sent on come back.
    assert len(moved) <= count // 2
    assert order("s-1", dict.fromkeys(members, 1.0)) == order("s-1", dict.fromkeys(sorted(members), 1.0))


def test_a_weight_of_two_is_nearest_twice_as_often() -> None:
    first = Counter(order(f"s-{place}", {"a": 2.0, "b": 1.0, "c": 1.0})[0] for place in range(4000))
    assert 0.47 < first["a"] / 4000 < 0.53


def test_each_server_is_probed_once_for_all_and_every_proxy_knows_what_was_found() -> None:
    fleet = Fleet(3, 30)
    fleet.run(6.0)
    fleet.mark()
    fleet.run(4.0)
    assert set(fleet.rates().values()) <= {3.75, 4.0, 4.25}  # four a second, from all three together
    assert all(proxy.told >= {f"s-{place}" for place in range(30)} for proxy in fleet.proxies)
    assert sum(len(proxy.agent.assigned_servers) for proxy in fleet.proxies) == 30


@pytest.mark.parametrize("how", ["killed", "frozen", "cut off"])
def test_when_one_is_lost_no_server_goes_unprobed_for_a_second_and_the_load_stays(how: str) -> None:
    fleet = Fleet(3, 30)
    fleet.run(6.0)
    fleet.mark()
    fleet.lose(0, how)
    fleet.run(10.0)
    assert fleet.longest_gap_s() <= 1.0
    # One that is cut off goes on by what it knows until its lease is over, then probes as without sharing.
    assert not fleet.proxies[0].agent.is_sharing
    # Until then its servers are probed by two: at least once, not at most once.
    assert all(0.9 <= rate / 4.0 <= (1.35 if how == "cut off" else 1.1) for rate in fleet.rates().values())
    if how == "killed":
        return
    fleet.mark()
    fleet.back(0)
    for _ in range(10):
        before = len(fleet.probes)
        fleet.run(1.0)
        assert len(fleet.probes) - before <= 1.1 * 4 * 30  # one that comes back takes nobody else for dead
    assert fleet.proxies[0].agent.is_sharing and len(fleet.proxies[0].agent.assigned_servers) > 0
    assert all(abs(rate / 4.0 - 1.0) <= 0.1 for rate in fleet.rates().values())


def test_without_the_engine_each_probes_for_itself_and_asks_for_it_no_more_often_than_before() -> None:
    fleet = Fleet(3, 10)
    fleet.run(6.0)
    for place in range(3):
        fleet.lose(place, "cut off")
    fleet.run(4.0)
    assert not any(proxy.agent.is_sharing for proxy in fleet.proxies)
    fleet.mark()
    fleet.proxies[1].agent.request_health_check("s-3")
    fleet.run(1.0)
    assert fleet.rates() == {f"s-{place}": float(place == 3) for place in range(10)}


def test_an_old_lease_publishes_nothing_and_another_version_is_passed_over() -> None:
    fleet = Fleet(2, 4)
    fleet.run(6.0)
    fleet.lose(0, "frozen")
    fleet.run(4.0)
    told = fleet.proxies[1].handed
    fleet.back(0)  # it wakes, and writes before it has looked anew
    fleet.step(0)
    assert fleet.proxies[1].handed == told
    fleet.spoil(1)
    fleet.run(1.0)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[sharing]", "membership: missing"),
        ("[membership]\nengine = ['127.0.0.1:1']\n[sharing]\nprobe_ms = 10", "sharing.probe_ms"),
        ("[membership]\nengine = ['127.0.0.1:1']\n[sharing]\nstale_ms = 900", "sharing.stale_ms: under probe_ms"),
    ],
)
def test_bad_settings_are_one_line_that_names_file_and_field(tmp_path: Path, text: str, field: str) -> None:
    file = tmp_path / "own.toml"
    file.write_text("version = 1\n" + text)
    with pytest.raises(ConfigError) as fault:
        load_operator_config(str(file))
    assert field in str(fault.value) and str(file) in str(fault.value) and "\n" not in str(fault.value)


def test_real_proxies_share_take_over_and_fall_back(tmp_path: Path) -> None:
    """Three processes and the stand-in: one killed, then the engine. All servers go on being probed."""
    plan = MaintenancePlan(name="none", machines=("s-0",), min_members=99)  # begins nothing

    async def more(up: MaintenanceRun, count: int) -> None:
        had = {server.name: server.probed for server in up.servers}
        while not all(server.probed >= had[server.name] + count for server in up.servers):
            await asyncio.sleep(0.02)

    async def play() -> None:
        sharing = SharedHealthChecksConfig(check_interval_ms=100, takeover_delay_ms=600)
        async with MaintenanceRun(tmp_path, plan, sharing=sharing) as up, asyncio.timeout(60):
            while not all(proxy.told("health_check_sharing_started") for proxy in up.proxies):
                await asyncio.sleep(0.02)
            await more(up, 10)
            await up.kill_proxy(0)
            await more(up, 10)
            await up.engine.end(signal.SIGKILL)
            while not all(proxy.told("health_check_sharing_stopped") for proxy in up.proxies[1:]):
                await asyncio.sleep(0.02)
            await more(up, 2)
            await up.restart_engine()
            while not all(len(proxy.told("health_check_sharing_started")) == 2 for proxy in up.proxies[1:]):
                await asyncio.sleep(0.02)
            assert up.tally.lost == 0 and up.tally.answers["UP"] > 0
            assert not any(proxy.told("health_check_sharing_failed") for proxy in up.proxies)

    asyncio.run(play())
