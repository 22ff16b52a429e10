"""Who of several processes of one proxy takes clients: pure."""

from __future__ import annotations

from collections.abc import Iterable

from stoatgw.hot_restart.sibling_processes import ProcessRecord

LEARN_US = 500_000  # a new process beside an old one first learns how full the servers are, for so long
LIST_US = 2_500_000  # and waits so long for news of the list, if an old copy is at hand; it has 6 s


def may_begin(began_us: int, told_us: int | None, listed: bool, now_us: int) -> bool:
    """Whether a process that started beside another may say yes: `told_us` is when discovery first told it."""
    if told_us is not None:
        return now_us >= told_us + LEARN_US
    return listed and now_us >= began_us + LIST_US


def newer(own: ProcessRecord, others: Iterable[ProcessRecord]) -> bool:
    """Whether another that takes clients began after this one: then that one alone accepts."""
    return any(peer.is_accepting and peer.since_us > own.since_us for peer in others)
