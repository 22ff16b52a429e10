"""Plans which established sessions to migrate from overloaded servers, in which order and at which rate. Pure.

Promises bounds in all, by server and by group, no client migrated twice within an interval, and no migration whose
gain is under its cost. Where a migrated client goes is left to the decisions, which admit it as any other.
"""

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.planner import RebalancePlanner
from stoatgw.rebalance.snapshot import FleetSnapshot, PlannedMigration, ServerSnapshot, SessionSnapshot

__all__ = [
    "FleetSnapshot",
    "PlannedMigration",
    "RebalanceLimits",
    "RebalancePlanner",
    "ServerSnapshot",
    "SessionSnapshot",
]
