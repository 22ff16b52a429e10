"""Delays between calls to discovery. Pure: the random generator is passed in.

A proxy counts as notified of a change 6 s after discovery has it, whichever calls failed or were rejected: no delay may
be longer than what the calls themselves leave of that time. If discovery is polled, all proxies may lose their watch at
the same moment, and a server that gets more calls than it can answer answers hardly any of them: in a large fleet each
proxy therefore draws its delay from a range that doubles. If lists are pushed, an agent on the proxy's own machine
answers, and calls cost discovery nothing.
"""

from __future__ import annotations

import random

NOTIFICATION_DEADLINE_S = 6.0
"""A proxy counts as notified of a change this long after discovery has it."""

INITIAL_DELAY_S = 0.1
MAX_PUSHED_DELAY_S = 0.4
MAX_POLLED_DELAY_S = 1.0
PUSHED_RESPONSE_TIMEOUT_S = 1.0  # an agent answers immediately
POLLED_RESPONSE_TIMEOUT_S = 1.4  # discovery, polled by a large fleet, answers within 2 s
OVERLOAD_DELAY_DIVISOR = 2  # after an overload the delay before jitter is at least the longest one divided by this
SMALL_FLEET_PROXIES = 8  # up to this many may call at the same time; a larger fleet spreads its first calls
SPREAD_PER_PROXY_S = 0.025
MAX_SPREAD_S = 2.0  # well within NOTIFICATION_DEADLINE_S
JITTER_FRACTION = 0.5


class Backoff:
    """The delays between one proxy's calls to discovery, in seconds."""

    def __init__(self, proxies: int, rng: random.Random, *, pushed: bool = False) -> None:
        """Start with the shortest delay.

        Args:
            proxies: How many proxies the fleet has.
            rng: Where jitter is drawn from.
            pushed: Whether an agent on this machine pushes the list; otherwise the fleet polls discovery.
        """
        self._rng = rng
        self._is_jittered = proxies > SMALL_FLEET_PROXIES and not pushed
        self._spread_s = min(MAX_SPREAD_S, SPREAD_PER_PROXY_S * proxies)
        self._max_base_delay_s = MAX_PUSHED_DELAY_S if pushed else MAX_POLLED_DELAY_S
        self._base_delay_s = INITIAL_DELAY_S
        self.response_timeout_s = PUSHED_RESPONSE_TIMEOUT_S if pushed else POLLED_RESPONSE_TIMEOUT_S
        """After this long without an answer to a call, another one is opened in parallel."""

    @property
    def max_delay_s(self) -> float:
        """The longest delay that `next_delay_s` may return."""
        if self._is_jittered:
            return self._max_base_delay_s * (1 + JITTER_FRACTION)
        return self._max_base_delay_s

    def initial_delay_s(self) -> float:
        """Return the delay before the first call of a proxy that starts with a cached list."""
        return self._rng.random() * self._spread_s if self._is_jittered else 0.0

    def reset(self) -> None:
        """Start with the shortest delay again, as a call has succeeded."""
        self._base_delay_s = INITIAL_DELAY_S

    def next_delay_s(self, *, overloaded: bool = False) -> float:
        """Return the delay after a call that failed or ended, and double the next one.

        Args:
            overloaded: Whether discovery rejected the call because it is overloaded.
        """
        if overloaded:
            self._base_delay_s = max(self._base_delay_s, self._max_base_delay_s / OVERLOAD_DELAY_DIVISOR)
        delay_s = self._base_delay_s
        self._base_delay_s = min(self._max_base_delay_s, 2 * delay_s)
        if self._is_jittered:
            return delay_s * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        return delay_s
