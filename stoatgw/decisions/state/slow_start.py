"""Slow start with few balancers: how many connections one balancer may send to a server that has just started.

The settings limit what all balancers together may send to a server in slow start within a window. Each balancer keeps
to its share of that budget: it counts the connections of mean load that it has sent, from the start of each attempt
until a window after the set-up has ended, as a request may reach the server at any time of its set-up. A server that is
sent more collapses and does not recover. With many balancers, `slow_start_slots` is used instead.
"""

from __future__ import annotations

from stoatgw.decisions.settings import Settings
from stoatgw.decisions.slow_start_budget import allowed_units, tolerated_excess_units
from stoatgw.decisions.state.server_state import ServerState, SlowStartSend

USED_EXCESS_FRACTION = 0.75  # the capacity of a server is an estimate
NEW_GROUP_UNITS = 1.0  # load units of a new group, as the estimator counts them
CHARGED_GROUP_UNITS = 0.5  # of these, what is charged: the rule counts requests of mean work, not their groups


class SlowStartLimiter:
    """Enforces one balancer's share of the slow-start budgets."""

    def __init__(self, settings: Settings) -> None:
        """Create a limiter that has received no request."""
        self._settings = settings
        self._window_us = max(1, settings.fall_us)
        self._max_connection_units = 1.0 + CHARGED_GROUP_UNITS if settings.groups else 1.0
        self._first_request_us: int | None = None

    def record_request(self, now_us: int) -> None:
        """Record a request; an earlier process of this balancer receives none from now on."""
        if self._first_request_us is None:
            self._first_request_us = now_us

    def shares_budget(self, server: ServerState, load_per_connection: float | None, now_us: int) -> bool:
        """Return whether this balancer is one of those that share the server's budget."""
        return self.share(server, load_per_connection, now_us) > 0.0

    def share(self, server: ServerState, load_per_connection: float | None, now_us: int) -> float:
        """Return the load units that this balancer may send to the server within a window.

        Each balancer's share grows with the budget, so balancers that estimate it differently keep to the largest
        estimate.

        Args:
            server: The server.
            load_per_connection: The fraction of its full capacity that one connection uses; None while unknown.
            now_us: The current time (microseconds).
        """
        settings = self._settings
        budget = 0.0
        if load_per_connection:
            budget = allowed_units(
                fall_multiple=settings.fall_multiple,
                warm_up_fraction=server.warm_up_fraction(now_us, settings),
                capacity_units=1.0 / load_per_connection,
                window_us=self._window_us,
                warm_up_us=settings.cold_us,
            )
        units = budget + USED_EXCESS_FRACTION * tolerated_excess_units(budget)
        even_share = units / settings.balancers
        if even_share >= self._max_connection_units:
            return even_share
        # A share too small for one connection would go unused, so fewer balancers have one that is large enough.
        rank = (server.name_offset + settings.rank) % settings.balancers
        has_share = (rank + 1) * self._max_connection_units <= units
        return self._max_connection_units if has_share else 0.0

    def charged_units(self, load_units: float, *, is_new_group: bool) -> float:
        """Return what a connection is charged: at least one unit, as any set-up is work for a server in slow start."""
        if is_new_group:
            load_units += CHARGED_GROUP_UNITS - NEW_GROUP_UNITS
        return max(1.0, load_units)

    def has_capacity(self, server: ServerState, units: float, load_per_connection: float | None, now_us: int) -> bool:
        """Return whether a connection that is charged `units` may be sent to the server.

        A process that has just replaced another one does not know what that one has sent within the last window.
        """
        if self._first_request_us is None or now_us < self._first_request_us + self._window_us:
            return False
        return self._sent_units(server, now_us) + units <= self.share(server, load_per_connection, now_us)

    def record_send(self, server: ServerState, units: float, now_us: int) -> SlowStartSend | None:
        """Count a connection that is charged `units` and sent to a server now; return None if that is warm."""
        if server.warm_up_fraction(now_us, self._settings) >= 1.0:
            return None
        send = SlowStartSend(units)
        server.slow_start_sends.append(send)
        return send

    def _sent_units(self, server: ServerState, now_us: int) -> float:
        """Return the load units that may have reached the server within the window that ends now."""
        since_us = now_us - self._window_us
        server.slow_start_sends = [send for send in server.slow_start_sends if send.may_arrive_after(since_us)]
        return sum(send.units for send in server.slow_start_sends)
