"""Recovery after an exception of the decision policy."""

from __future__ import annotations

import traceback

from stoatgw.controller.decision_runner import DecisionRunner
from stoatgw.controller.requests import RequestTable
from stoatgw.decisions import interface
from stoatgw.decisions.interface import Action, FetchEndpoints
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

TRACEBACK_FRAMES = 4


class PolicyRecovery:
    """Replaces a policy that raised an exception by a new one, and answers the requests that are thereby orphaned.

    Called from the controller's task only.
    """

    def __init__(self, decisions: DecisionRunner, requests: RequestTable, counters: Counters, log: EventLog) -> None:
        self._decisions = decisions
        self._requests = requests
        self._counters = counters
        self._log = log

    def recover(self, error: Exception) -> None:
        """Fail the waiting requests that have no attempt, and start a new policy with the established sessions.

        Called in the `except` block, so that the traceback can be logged.
        """
        self._counters.add("decision_crashes")
        trace = traceback.format_exc(limit=TRACEBACK_FRAMES)
        self._log.event("decision_crashed", error=repr(error), trace=trace)
        self._decisions.replace_policy()
        self._requests.fail_orphans()
        self._decisions.start()
        fetch: list[Action] = [FetchEndpoints()]
        self._decisions.perform(fetch)
        for state in self._requests.established():
            if state.active_attempt is not None:
                self._decisions.notify(interface.SessionRestored(state.request, state.server))
