"""Actions that are repeated for the lifetime of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stoatgw.telemetry.log import EventLog


async def run_periodically(interval_s: float, action: Callable[[], None], log: EventLog) -> None:
    """Repeat an action until cancelled; an exception is logged, but not again while it stays the same."""
    last_fault = ""
    while True:
        await asyncio.sleep(interval_s)
        try:
            action()
        except Exception as error:
            fault = repr(error)
            if fault != last_fault:
                last_fault = fault
                log.event("periodic_task_failed", error=fault)
