"""Handlers of the signals that the platform sends to the proxy process."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def install_signal_handlers(reload: Callable[[], None], report_counters: Callable[[], None]) -> asyncio.Event:
    """Handle SIGHUP, which was blocked until now, SIGTERM, SIGINT and SIGUSR1 on the running event loop.

    Args:
        reload: Called on SIGHUP.
        report_counters: Called on SIGUSR1.

    Returns:
        The event that SIGTERM and SIGINT set.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGUSR1, report_counters)
    return stop_requested
