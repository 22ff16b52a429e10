"""When to call discovery again: pure, randomness handed in.

What discovery has to tell counts as told within 6 s, whatever call failed or was turned away: no wait may be longer
than what is left of that beside the calls themselves. Where discovery is asked, all proxies may lose their watch in
the same moment, and one that has more calls than it can answer answers hardly any: many proxies therefore wait a
random part of a span that doubles. Where lists are pushed, an agent on our own machine answers, at no cost.
"""

from __future__ import annotations

import random

NOTIFICATION_DEADLINE_S = 6.0  # by then a change counts as told
FIRST_S, PUSHED_MOST_S, ASKED_MOST_S = 0.1, 0.4, 1.0
BUSY_PART = 2  # a discovery that says it is busy is spared at least this part of the longest wait
FEW = 8  # so many proxies begin at once; more of them spread their first calls
SPREAD_EACH_S, SPREAD_MOST_S = 0.025, 2.0  # well within the time after which all counts as told
JITTER = 0.5


class Backoff:
    """Waits in seconds, for one proxy among `proxies`; `pushed`: an agent of its own tells it the list."""

    def __init__(self, proxies: int, chance: random.Random, *, pushed: bool = False) -> None:
        self._chance = chance
        self._many = proxies > FEW and not pushed
        self._spread_s = min(SPREAD_MOST_S, SPREAD_EACH_S * proxies)
        self._most_s = PUSHED_MOST_S if pushed else ASKED_MOST_S
        self._span_s = FIRST_S

    @property
    def max_delay_s(self) -> float:
        return self._most_s * (1 + JITTER) if self._many else self._most_s

    def initial_delay_s(self) -> float:
        """Before the first call, where a last copy of the list is at hand."""
        return self._chance.random() * self._spread_s if self._many else 0.0

    def reset(self) -> None:
        """Discovery has told something: the next trouble is a new one."""
        self._span_s = FIRST_S

    def next_delay_s(self, *, busy: bool = False) -> float:
        """After a call that failed or a watch that ended; `busy`: discovery turned the call away."""
        if busy:
            self._span_s = max(self._span_s, self._most_s / BUSY_PART)
        span_s, self._span_s = self._span_s, min(self._most_s, 2 * self._span_s)
        return span_s * self._chance.uniform(1 - JITTER, 1 + JITTER) if self._many else span_s
