"""What is done after a fault of the decision policy."""

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
    """Replaces a policy that raised an exception by a new one, without leaving a request unanswered.

    Called from the controller's task only.
    """

    def __init__(self, decisions: DecisionRunner, requests: RequestTable, counters: Counters, log: EventLog) -> None:
        self._decisions = decisions
        self._requests = requests
        self._counters = counters
        self._log = log

    def recover(self, error: Exception) -> None:
        """Fails the requests that wait without an attempt, and starts anew with the sessions that are established.

        Called while the error is handled, so that its traceback is logged.
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
