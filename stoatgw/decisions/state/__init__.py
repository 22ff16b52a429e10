"""The state that decisions are made from: observations of servers and connections, and estimates derived from them.

The package is pure and makes no decisions. The policy, which imports it, decides whether a request is admitted and to
which server, and what is checked, ejected or migrated. No module in this package imports the policy.
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
