"""The polling loop of reconcilers, and a log of conditions that last."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NoReturn

from stoatgw.telemetry.log import EventLog

MIN_JITTER = 0.8
MAX_JITTER = 1.2
MAX_REASON_CHARS = 200


async def run_reconcile_loop(
    reconcile: Callable[[], Awaitable[None]],
    report_failure: Callable[[Exception], None],
    *,
    interval_s: float,
    jitter: random.Random,
) -> NoReturn:
    """Reconcile in a loop with a jittered pause; an exception in one pass is reported and does not end the loop."""
    while True:
        try:
            await reconcile()
        except Exception as error:
            report_failure(error)
        await asyncio.sleep(interval_s * jitter.uniform(MIN_JITTER, MAX_JITTER))


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition that lasts, and the log events of its start and its end.

    Attributes:
        raised_event: Logged when the condition starts.
        cleared_event: Logged when it ends; "" for a condition that is never cleared.
        logs_each_reason: Whether a change of the reason is logged as well.
    """

    raised_event: str
    cleared_event: str = ""
    logs_each_reason: bool = False


class ConditionLog:
    """Logs a condition once when it starts and once when it ends, rather than at every pass."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._reasons: dict[Condition, str] = {}

    def report(self, condition: Condition, reason: str) -> None:
        """Record that the condition holds for a reason, or with "" that it does not hold."""
        if reason:
            self._raise(condition, reason)
        else:
            self.clear(condition)

    def clear(self, condition: Condition) -> None:
        """Record that the condition does not hold."""
        if self._reasons.pop(condition, None) is not None:
            self._log.event(condition.cleared_event)

    def _raise(self, condition: Condition, reason: str) -> None:
        is_new = condition not in self._reasons
        if is_new or (condition.logs_each_reason and self._reasons[condition] != reason):
            self._log.event(condition.raised_event, error=reason[:MAX_REASON_CHARS])
        self._reasons[condition] = reason
