"""The time windows of a drain: until when requests are accepted and admitted, and when each session migrates. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from stoatgw.controller.messages import BeginDrain
from stoatgw.decisions.interface import Settings

GOLDEN_RATIO_FRACTION = 0.6180339887  # multiples of it, modulo 1, never fall close together


class DrainSchedule:
    """Whether the proxy drains, and what a drain grants at which time.

    Attributes:
        is_draining: A drain has begun and was not cancelled.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.is_draining = False
        self._drain = BeginDrain(0, 0)
        self._accept_until_us = 0  # new requests are routed here until then
        self._admit_until_us = 0  # and are served until then; 0: not at all
        self._late_sessions = 0  # sessions established since the drain began

    def begin(self, drain: BeginDrain, now_us: int) -> None:
        """Begins a drain; one that runs already is replaced."""
        self.is_draining = True
        self._drain = drain
        self._late_sessions = 0
        self._accept_until_us = now_us + drain.accept_window_us
        self._admit_until_us = now_us + drain.admission_window_us if drain.admission_window_us else 0

    def cancel(self) -> None:
        """Ends the drain: requests are admitted again."""
        self.is_draining = False

    def is_admitting(self, now_us: int) -> bool:
        """Whether a new request goes to the policy."""
        return not self.is_draining or now_us < self._admit_until_us

    def retry_after_us(self, now_us: int) -> int:
        """Returns when a rejected client should retry: once other proxies get the new requests, not this one again."""
        if not self._settings.can_advise_retry_after:
            return 0
        return max(0, min(self._accept_until_us - now_us, self._settings.max_retry_after_us))

    def migration_delays_s(self, sessions: int) -> Iterator[float]:
        """Yields after how long each of the sessions established before the drain migrates.

        None does before new requests stop coming here: its client would return and be rejected. The rate rises:
        a session that migrates late is served the longer, and a peer that restarted just before is back by then.
        """
        for index in range(sessions):
            offset_us = self._drain.migration_window_us * (index / sessions) ** 0.5
            yield (self._drain.accept_window_us + offset_us) / 1e6

    def next_late_migration_delay_s(self, now_us: int) -> float:
        """Returns after how long a session migrates that was established during the drain; 0: at once.

        Such sessions are spread over the same window as the others.
        """
        self._late_sessions += 1
        offset_us = self._drain.migration_window_us * (self._late_sessions * GOLDEN_RATIO_FRACTION % 1.0)
        delay_us = self._accept_until_us + offset_us - now_us
        return delay_us / 1e6 if self._admit_until_us and delay_us > 0 else 0.0
