"""Decides which of several processes of one proxy accepts client connections. No IO."""

from __future__ import annotations

from collections.abc import Iterable

from stoatgw.hot_restart.sibling_processes import ProcessRecord

# How long a process that takes over collects the servers' load reports before it accepts.
LOAD_LEARNING_US = 500_000
# How long a process with a cached endpoint list waits for a new one; the platform allows it 6 s.
ENDPOINT_LIST_WAIT_US = 2_500_000


def may_start_accepting(started_us: int, first_update_us: int | None, *, has_endpoints: bool, now_us: int) -> bool:
    """Return whether a process that started while another one accepted client connections may accept them.

    Args:
        started_us: When it started.
        first_update_us: When discovery itself first sent it the endpoint list, not counting a cached one; None before.
        has_endpoints: Whether it has an endpoint list, which may be a cached one.
        now_us: The current time.
    """
    if first_update_us is not None:
        return now_us >= first_update_us + LOAD_LEARNING_US
    return has_endpoints and now_us >= started_us + ENDPOINT_LIST_WAIT_US


def is_newer_sibling_accepting(own: ProcessRecord, siblings: Iterable[ProcessRecord]) -> bool:
    """Return whether a sibling began to accept after this process; that sibling then is the only one to accept."""
    return any(sibling.is_accepting and sibling.since_us > own.since_us for sibling in siblings)
