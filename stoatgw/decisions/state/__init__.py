"""The state that decisions are made from: what is observed of servers and connections, and estimates of both.

It promises to be pure and to decide nothing. Whether a request is admitted, where it goes, what is checked, ejected
or migrated is left to the policy, which imports from here; no module here imports the policy.
"""

from __future__ import annotations

from stoatgw.decisions.state.balancer_state import PERIOD_US
from stoatgw.decisions.state.connection_state import ConnectionState
from stoatgw.decisions.state.context import DecisionContext
from stoatgw.decisions.state.load_estimator import REPORT_DELAY_US
from stoatgw.decisions.state.load_report import LoadReport
from stoatgw.decisions.state.server_health import ServerHealth
from stoatgw.decisions.state.server_state import ServerState

__all__ = [
    "PERIOD_US",
    "REPORT_DELAY_US",
    "ConnectionState",
    "DecisionContext",
    "LoadReport",
    "ServerHealth",
    "ServerState",
]
