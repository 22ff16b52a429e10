"""The schedule of a drain: until when requests are routed here and admitted, and when each session migrates. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from stoatgw.controller.messages import BeginDrain
from stoatgw.decisions.interface import Settings

GOLDEN_RATIO_FRACTION = 0.6180339887  # its multiples modulo 1 are spread evenly (low discrepancy)


class DrainSchedule:
    """Whether the proxy is draining, and the time windows of the drain.

    Attributes:
        is_draining: Whether a drain has begun and was not cancelled.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.is_draining = False
        self._drain = BeginDrain(0, 0)
        self._accept_until_us = 0  # new clients are still routed to this proxy until then
        self._admit_until_us = 0  # new requests are served until then; 0: they are rejected immediately
        self._late_sessions = 0  # sessions established since the drain began

    def begin(self, drain: BeginDrain, now_us: int) -> None:
        """Begin a drain, in place of one that is in progress."""
        self.is_draining = True
        self._drain = drain
        self._late_sessions = 0
        self._accept_until_us = now_us + drain.accept_window_us
        self._admit_until_us = now_us + drain.admission_window_us if drain.admission_window_us else 0

    def cancel(self) -> None:
        """Cancel the drain; requests are admitted again."""
        self.is_draining = False

    def is_admitting(self, now_us: int) -> bool:
        """Return whether a new request is passed to the policy."""
        return not self.is_draining or now_us < self._admit_until_us

    def retry_after_us(self, now_us: int) -> int:
        """Return when a rejected client should retry: as soon as new clients are routed to other proxies only."""
        if not self._settings.can_advise_retry_after:
            return 0
        return max(0, min(self._accept_until_us - now_us, self._settings.max_retry_after_us))

    def migration_delays_s(self, sessions: int) -> Iterator[float]:
        """Yield the delay after which each of the sessions established before the drain migrates.

        No session migrates while new clients are routed to this proxy: its client could reconnect here and be rejected.
        The rate rises over time: a session that migrates late is served longer, and a peer that was restarted just
        before this proxy is available again by then.
        """
        for index in range(sessions):
            offset_us = self._drain.migration_window_us * (index / sessions) ** 0.5
            yield (self._drain.accept_window_us + offset_us) / 1e6

    def next_late_migration_delay_s(self, now_us: int) -> float:
        """Return the delay after which a session that was established during the drain migrates; 0: immediately.

        These sessions are spread over the same window as those established before.
        """
        self._late_sessions += 1
        offset_us = self._drain.migration_window_us * (self._late_sessions * GOLDEN_RATIO_FRACTION % 1.0)
        delay_us = self._accept_until_us + offset_us - now_us
        return delay_us / 1e6 if self._admit_until_us and delay_us > 0 else 0.0
