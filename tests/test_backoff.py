"""Delays between a whole fleet's calls to discovery after a failure, without a clock."""

from __future__ import annotations

import random

import pytest

from stoatgw.discovery.backoff import NOTIFICATION_DEADLINE_S, Backoff
from stoatgw.discovery.http import HttpBusyError, JsonStreamParser


def call_times_s(proxies: int, until_s: float, *, overloaded: bool = True) -> list[float]:
    """Return when the proxies of a fleet, whose watches all end at 0, call a discovery that never answers."""
    times = []
    for proxy in range(proxies):
        backoff = Backoff(proxies, random.Random(proxy))
        now_s = 0.0
        while (now_s := now_s + backoff.next_delay_s(overloaded=overloaded)) < until_s:
            times.append(now_s)
    return sorted(times)


@pytest.mark.parametrize("proxies", [20, 40, 80, 160])
def test_the_fleet_calls_an_overloaded_discovery_as_rarely_as_the_notification_deadline_allows(proxies: int) -> None:
    # Guards against an overload in which discovery answered none of 40 proxies that called in step, for 23 s. Delays of
    # 40 s reduced its load further, but a change counts as notified after 6 s: a call rejected after 2 s, a delay, and
    # an answer after 2 s have to fit into that.
    times = call_times_s(proxies, 60.0)
    assert len(times) / 60 <= 1.4 * proxies
    for second in range(1, 60):  # nor are there many more calls in any single second
        assert sum(second <= time_s < second + 1 for time_s in times) <= 1.4 * proxies + 3 * proxies**0.5
    assert Backoff(proxies, random.Random(1)).max_delay_s + 2.0 + 2.0 <= NOTIFICATION_DEADLINE_S - 0.5


def test_an_agent_that_pushes_is_called_again_soon_however_many_proxies_there_are() -> None:
    backoff = Backoff(200, random.Random(1), pushed=True)
    assert backoff.initial_delay_s() == 0.0
    delays_s = [backoff.next_delay_s(overloaded=overloaded) for overloaded in (False, True, True, True)]
    assert delays_s == [0.1, 0.2, 0.4, 0.4]


def test_the_proxies_of_a_fleet_do_not_call_in_step() -> None:
    times = call_times_s(40, 3.0, overloaded=False)
    busiest = max(sum(tenth / 10 <= time_s < tenth / 10 + 0.1 for time_s in times) for tenth in range(30))
    assert busiest < len(times) / 4


@pytest.mark.parametrize("proxies", [1, 2, 3])
def test_the_delays_of_a_small_fleet_double_without_jitter(proxies: int) -> None:
    backoff = Backoff(proxies, random.Random(1))
    assert backoff.initial_delay_s() == 0.0
    assert [round(backoff.next_delay_s(), 1) for _ in range(6)] == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
    backoff.reset()
    assert backoff.next_delay_s() == 0.1


def test_first_calls_of_a_large_fleet_are_spread() -> None:
    delays_s = [Backoff(40, random.Random(proxy)).initial_delay_s() for proxy in range(40)]
    assert max(delays_s) > 0.5
    assert sum(delay_s < 0.1 for delay_s in delays_s) < 10
    assert max(Backoff(4000, random.Random(proxy)).initial_delay_s() for proxy in range(40)) <= 2.0


@pytest.mark.parametrize(("pushed", "timeout_s"), [(True, 1.0), (False, 1.4)])
def test_a_silent_call_gets_a_parallel_one_sooner_if_an_agent_pushes(pushed: bool, timeout_s: float) -> None:
    assert Backoff(200, random.Random(1), pushed=pushed).response_timeout_s == timeout_s


def test_a_response_of_an_overloaded_server_raises_its_own_error() -> None:
    with pytest.raises(HttpBusyError):
        JsonStreamParser().receive_data(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
