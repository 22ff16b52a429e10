"""Calls to discovery after trouble, over a whole fleet, in steps of no clock at all."""

from __future__ import annotations

import random

import pytest

from stoatgw.discovery.backoff import NOTIFICATION_DEADLINE_S, Backoff
from stoatgw.discovery.http import HttpBusyError, JsonStreamParser


def calls(proxies: int, until_s: float, *, busy: bool = True) -> list[float]:
    """When a fleet whose watches all end at 0 calls a discovery that answers none of it."""
    times = []
    for place in range(proxies):
        backoff, at_s = Backoff(proxies, random.Random(place)), 0.0
        while (at_s := at_s + backoff.next_delay_s(overloaded=busy)) < until_s:
            times.append(at_s)
    return sorted(times)


@pytest.mark.parametrize("proxies", [20, 40, 80, 160])
def test_the_fleet_spares_a_busy_discovery_as_far_as_the_time_to_be_told_allows(proxies: int) -> None:
    # Guards against a discovery that 40 proxies in step kept too busy to answer any for 23 s. Waits of 40 s spared it
    # more, but what it has to tell counts as told after 6 s: a call turned away after 2 s, a wait, and an answer
    # after 2 s have to fit.
    times = calls(proxies, 60.0)
    assert len(times) / 60 <= 1.4 * proxies
    for at in range(1, 60):  # and in no second do many more of them fall together
        assert sum(at <= each < at + 1 for each in times) <= 1.4 * proxies + 3 * proxies**0.5
    assert Backoff(proxies, random.Random(1)).max_delay_s + 2.0 + 2.0 <= NOTIFICATION_DEADLINE_S - 0.5


def test_an_agent_that_pushes_is_called_again_at_once_however_many_proxies_there_are() -> None:
    backoff = Backoff(200, random.Random(1), pushed=True)
    assert backoff.initial_delay_s() == 0.0
    assert [backoff.next_delay_s(overloaded=busy) for busy in (False, True, True, True)] == [0.1, 0.2, 0.4, 0.4]


def test_nothing_is_in_step() -> None:
    times = calls(40, 3.0, busy=False)
    busiest = max(sum(at / 10 <= each < at / 10 + 0.1 for each in times) for at in range(30))
    assert busiest < len(times) / 4


@pytest.mark.parametrize("proxies", [1, 2, 3])
def test_a_few_proxies_wait_as_they_did(proxies: int) -> None:
    backoff = Backoff(proxies, random.Random(1))
    assert backoff.initial_delay_s() == 0.0
    assert [round(backoff.next_delay_s(), 1) for _ in range(6)] == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
    backoff.reset()
    assert backoff.next_delay_s() == 0.1


def test_first_calls_of_many_are_spread() -> None:
    begins = [Backoff(40, random.Random(place)).initial_delay_s() for place in range(40)]
    assert max(begins) > 0.5
    assert sum(each < 0.1 for each in begins) < 10
    assert max(Backoff(4000, random.Random(place)).initial_delay_s() for place in range(40)) <= 2.0


def test_a_busy_answer_is_told_from_others() -> None:
    with pytest.raises(HttpBusyError):
        JsonStreamParser().receive_data(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
