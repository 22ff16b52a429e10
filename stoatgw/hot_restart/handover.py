"""Which of several processes of one proxy accepts clients. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from stoatgw.hot_restart.sibling_processes import ProcessRecord

LOAD_LEARNING_US = 500_000  # a process that will take over first learns for so long how loaded the servers are
ENDPOINT_LIST_WAIT_US = 2_500_000  # with a cached list it waits for a new one for so long; the platform gives it 6 s


def may_start_accepting(started_us: int, first_update_us: int | None, *, has_endpoints: bool, now_us: int) -> bool:
    """Whether a process that started while another one accepted may accept.

    Args:
        started_us: When it started.
        first_update_us: When discovery itself first sent it the list; None before.
        has_endpoints: Whether it holds a list, be it a cached one.
        now_us: The time now.
    """
    if first_update_us is not None:
        return now_us >= first_update_us + LOAD_LEARNING_US
    return has_endpoints and now_us >= started_us + ENDPOINT_LIST_WAIT_US


def is_newer_sibling_accepting(own: ProcessRecord, siblings: Iterable[ProcessRecord]) -> bool:
    """Whether a sibling accepts that began to do so after this process: then that one alone accepts."""
    return any(sibling.is_accepting and sibling.since_us > own.since_us for sibling in siblings)
