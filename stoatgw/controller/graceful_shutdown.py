"""The schedule of a graceful shutdown, from SIGTERM to SIGKILL. Pure; the proxy and the emulator both use it."""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.controller.messages import BeginDrain
from stoatgw.decisions.interface import Settings

MAX_DEADLINE_US = 3_000_000  # cap on the longest deadline; SIGKILL is sent 0.7 s after the capped deadline

ACCEPT_WINDOW_US = 400_000  # time after SIGTERM in which new clients are still routed to this proxy
MAX_ADMISSION_WINDOW_US = 800_000  # requests of new and of late clients are served up to this long
MIN_SHUTDOWN_US = 1_000_000  # new clients are answered at least this long, even if there are no sessions
SHUTDOWN_MARGIN_US = 500_000  # the process exits this long after the longest deadline
FINAL_ANSWER_MARGIN_US = 100_000  # the last requests are answered this long before the process exits

HANDOVER_ACCEPT_WINDOW_US = 50_000
MAX_HANDOVER_MIGRATION_WINDOW_US = 1_600_000
HANDOVER_SHUTDOWN_MARGIN_US = 400_000


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The drain of a shutdown, and when the process exits after SIGTERM.

    Attributes:
        drain: The message that begins the drain in the controller.
        min_duration_us: The earliest exit after SIGTERM.
        max_duration_us: The latest exit after SIGTERM. Between the two, the process exits once all clients have
            disconnected.
    """

    drain: BeginDrain
    min_duration_us: int
    max_duration_us: int


def plan_shutdown(settings: Settings, *, handed_over: bool) -> ShutdownPlan:
    """Plan the shutdown on SIGTERM; `handed_over`: another process of this proxy accepts its clients.

    A shutdown without handover uses nearly all of the time until SIGKILL. Established sessions are served until they
    migrate: when all migrated within a second, all of a proxy's clients reached its peers between two load reports, and
    most of them were rejected. New clients are served too and migrate with the others: if they were rejected, they
    would use up their retries while they are still routed to this proxy.
    """
    longest_us = min(MAX_DEADLINE_US, max(request_class.deadline_us for request_class in settings.profiles))
    if handed_over:
        window_us = min(MAX_HANDOVER_MIGRATION_WINDOW_US, max(0, longest_us - HANDOVER_ACCEPT_WINDOW_US))
        drain = BeginDrain(HANDOVER_ACCEPT_WINDOW_US, window_us, longest_us)
        return ShutdownPlan(drain, 0, longest_us + HANDOVER_SHUTDOWN_MARGIN_US)
    max_duration_us = longest_us + SHUTDOWN_MARGIN_US
    drain = BeginDrain(
        accept_window_us=ACCEPT_WINDOW_US,
        migration_window_us=max(0, longest_us - ACCEPT_WINDOW_US),
        admission_window_us=min(MAX_ADMISSION_WINDOW_US, max_duration_us - FINAL_ANSWER_MARGIN_US),
    )
    return ShutdownPlan(drain, min(MIN_SHUTDOWN_US, max_duration_us), max_duration_us)
