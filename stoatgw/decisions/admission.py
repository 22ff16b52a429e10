"""The admission test: a server may be sent a connection while r * (n + 1) is below the connection's margin.

r is the load of one mean connection and n the number of connections on the server.
"""

from __future__ import annotations

from stoatgw.decisions.state import ConnectionState, DecisionContext

MARGIN = 0.8  # load up to which servers are filled (tau in the paper)
MAX_MARGIN_CUT = 0.4  # fraction of the margin withheld from priority weight 0 while the highest is rejected
MAX_STANDING_DEFICIT = 0.5  # maximum priority deficit that applies while no request is rejected
REJECTED_PRIORITY_DECAY = 0.9  # the highest rejected priority weight is multiplied by this each period


def passes_admission(expected_load: float, margin: float) -> bool:
    """Return whether `expected_load`, which is r * (n + 1), is below the margin."""
    return expected_load < margin


def admission_margin(context: DecisionContext, connection: ConnectionState) -> float:
    """Return a connection's margin, reduced at a low priority weight, more while higher ones are rejected."""
    weight = priority_weight(context, connection)
    standing_deficit = min(MAX_STANDING_DEFICIT, 1.0 - weight)
    deficit = max(standing_deficit, context.counts.rejected_priority - weight)
    return MARGIN * (1.0 - MAX_MARGIN_CUT * deficit)


def priority_weight(context: DecisionContext, connection: ConnectionState) -> float:
    """Return the priority weight as a fraction of the highest; it is reduced beyond the tenant's quota."""
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
    """Return whether another set-up may be in flight; the window for them narrows when set-ups fail."""
    return context.counts.setups_in_flight < context.counts.setup_window
