"""The admission test: a server may take a connection while r * (n + 1) is under the connection's margin."""

from __future__ import annotations

from stoatgw.decisions.state import ConnectionState, DecisionContext

MARGIN = 0.8  # highest load that a server is filled to (the paper's tau)
MAX_MARGIN_CUT = 0.4  # part of the margin that no priority weight forgoes while the highest is rejected
MAX_STANDING_DEFICIT = 0.5  # the lack of priority weight that counts when nobody is rejected
REJECTED_PRIORITY_DECAY = 0.9  # part of the highest rejected priority weight that is kept each period


def passes_admission(expected_load: float, margin: float) -> bool:
    """The admission test itself; `expected_load` is r * (n + 1)."""
    return expected_load < margin


def admission_margin(context: DecisionContext, connection: ConnectionState) -> float:
    """Return a connection's margin: a low priority weight forgoes part of it, more while others wait."""
    weight = priority_weight(context, connection)
    standing_deficit = min(MAX_STANDING_DEFICIT, 1.0 - weight)
    deficit = max(standing_deficit, context.counts.rejected_priority - weight)
    return MARGIN * (1.0 - MAX_MARGIN_CUT * deficit)


def priority_weight(context: DecisionContext, connection: ConnectionState) -> float:
    """Return the priority weight as a part of the highest; it falls beyond the tenant's quota."""
    settings = context.settings
    request = connection.request
    weight = settings.profiles[request.request_class].worth / context.max_priority_weight
    quotas = settings.tenant_quota_connections
    if request.tenant >= len(quotas):
        return weight
    quota = quotas[request.tenant] * context.counts.connection_share
    if context.counts.tenant_connections[request.tenant] > quota:
        return weight * min(1.0, settings.over_share_worth)
    return weight


def has_setup_capacity(context: DecisionContext) -> bool:
    """Whether another set-up may be in flight: failing set-ups narrow their window."""
    return context.counts.setups_in_flight < context.counts.setup_window
