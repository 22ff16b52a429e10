"""Plans which established sessions to migrate from overloaded servers, in which order and at which rate. Pure.

Limits the migrations in total, per server and per group, migrates no client twice within an interval, and plans no
migration whose gain is below its cost. The server that a migrated client reconnects to is selected by the decisions,
which admit it like any other client.
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
