"""Standing connections moved towards balance: which, from where, in which order, at which rate. Pure.

Promises bounds in all, by server and by group, no connection moved twice within a span, and no move whose gain is
under its cost. Where a moved client goes is left to the module, which admits it as it does any.
"""

from stoatgw.rebalance.limits import RebalanceLimits
from stoatgw.rebalance.planner import Planner
from stoatgw.rebalance.snapshot import FleetSnapshot, PlannedMigration, ServerSnapshot, SessionSnapshot

__all__ = ["FleetSnapshot", "PlannedMigration", "Planner", "RebalanceLimits", "ServerSnapshot", "SessionSnapshot"]
