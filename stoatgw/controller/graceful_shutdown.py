"""How the time from SIGTERM to the kill is spent: pure. The real proxy and the emulator's go by it alike."""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.controller.messages import BeginDrain
from stoatgw.decisions.interface import Settings

LONGEST_US = 3_000_000  # the longest deadline counts as so much at most; the kill comes 0.7 s after it
NEWCOMERS_US = 400_000  # new clients are led here for so long after SIGTERM
SERVE_US = 800_000  # who comes or waits is served for so long: newcomers, and some who were slow to ask
HANDOVER_FIRST_US, HANDOVER_OVER_US = 50_000, 1_600_000
LEAST_US = 1_000_000  # a plain stop answers newcomers for so long, though nobody stands
END_US, ANSWER_US = 500_000, 100_000  # the end comes so long after the longest deadline; the last answers before it


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The drain, and after how long the process ends: not before the least, then once all have gone, at the most."""

    drain: BeginDrain
    min_duration_us: int
    max_duration_us: int


def plan_shutdown(settings: Settings, *, handed_over: bool) -> ShutdownPlan:
    """What to do on SIGTERM. `handed_over`: another process of this proxy takes the clients from now on.

    A plain stop takes nearly all of its time. Those who stand are served until their turn; moved in a second, all
    of a proxy's clients came to its peers between two reports, and most of them were refused. Newcomers are served
    too, and moved with the others: refused, they would use up their tries while they are still led here.
    """
    longest_us = min(LONGEST_US, max(profile.deadline_us for profile in settings.profiles))
    if handed_over:
        over_us = min(HANDOVER_OVER_US, max(0, longest_us - HANDOVER_FIRST_US))
        return ShutdownPlan(BeginDrain(HANDOVER_FIRST_US, over_us, longest_us), 0, longest_us + 400_000)
    most_us = longest_us + END_US
    drain = BeginDrain(NEWCOMERS_US, max(0, longest_us - NEWCOMERS_US), min(SERVE_US, most_us - ANSWER_US))
    return ShutdownPlan(drain, min(LEAST_US, most_us), most_us)
