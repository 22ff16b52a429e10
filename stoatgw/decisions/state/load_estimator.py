"""Estimates load and connection counts from reports, live weights, message latencies and own placements."""

from __future__ import annotations

from stoatgw.decisions.events import Lifecycle
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.balancer_state import PERIOD_US, BalancerState
from stoatgw.decisions.state.connection_state import ConnectionState
from stoatgw.decisions.state.fleet_state import MAX_WEIGHT, FleetState
from stoatgw.decisions.state.load_report import MAX_CONNECTIONS, LoadReport
from stoatgw.decisions.state.server_state import ServerState

LOOKBACK_PERIODS = 20  # samples in the mean load per connection (lambda in the paper)
LOOKBACK_US = LOOKBACK_PERIODS * PERIOD_US  # older samples are dropped
MAX_LOAD_SPREAD = 4.0  # samples are limited to the fleet's mean load per connection times or divided by this
REPORT_DELAY_US = 700_000  # a report shows its server as it was at most this long before it was received
LATENCY_VALID_US = 1_500_000  # an observed message latency is used for this long
OVERLOAD_VALID_US = 3_000_000  # a reported load over 1 is used for this long
CERTAIN_CONNECTIONS = 4.0  # a report of this many connections has the same weight as the mean of the server's kind
NEW_GROUP_UNITS = 3.0  # extra load units of the first connection of a group on a warm server


class LoadEstimator:
    """Records load reports and estimates the load of servers."""

    def __init__(
        self,
        settings: Settings,
        fleet: FleetState,
        counts: BalancerState,
        *,
        has_many_balancers: bool,
        checks_on_request: bool,
    ) -> None:
        """Create an estimator over the observations in `fleet` and `counts`."""
        self._settings = settings
        self._fleet = fleet
        self._counts = counts
        self._has_many_balancers = has_many_balancers
        self._checks_on_request = checks_on_request

    def record_report(self, server: ServerState, report: LoadReport, now_us: int) -> None:
        """Record a server's load report."""
        fleet = self._fleet
        endpoint = server.endpoint
        load = report.load
        connections = report.connections
        server.reported_connections = connections
        server.reported_load = load
        server.reported_us = now_us
        warm_up_fraction = server.warm_up_fraction(now_us, self._settings)
        if self._checks_on_request and warm_up_fraction >= 1.0 and endpoint.lifecycle is Lifecycle.ACTIVE:
            fleet.recently_reported[endpoint.name] = server
        if self._settings.live_weights and 0.0 < endpoint.weight < MAX_WEIGHT and connections >= 1:
            fleet.record_weight(endpoint, connections)
        server.drop_reported(now_us - REPORT_DELAY_US)
        # A load over 1 is queued work. Included in the mean, it made a fleet that had recovered reject most clients.
        if connections < 1 or (load > 1.0 and server.load_samples):
            return
        sample = min(1.0, load) * warm_up_fraction / connections  # fraction of the full capacity
        # Set-ups alone cause almost no load, and a server that hangs reports a huge one: the limits keep both from
        # distorting the mean for long.
        mean = fleet.load_per_connection
        if mean:
            sample = min(MAX_LOAD_SPREAD * mean, max(mean / MAX_LOAD_SPREAD, sample))
        else:
            fleet.load_per_connection = sample
        server.add_load_sample(now_us, sample, max_samples=LOOKBACK_PERIODS, max_age_us=LOOKBACK_US)

    def begin_period(self, now_us: int) -> None:
        """Update the means over the fleet, and drop or merge the changes that are old enough to appear in reports."""
        self._fleet.update_mean_loads(now_us - LOOKBACK_US)
        for server in self._fleet.servers.values():
            if self.prefers_weight(server, now_us):
                server.drop_reported(now_us - REPORT_DELAY_US)
            else:
                server.merge_reported(now_us - REPORT_DELAY_US)

    def prefers_weight(self, server: ServerState, now_us: int) -> bool:
        """Return whether the live weight gives a better connection count than the last report."""
        return self._fleet.prefers_weight(server, now_us - OVERLOAD_VALID_US)

    def has_connection_count(self, server: ServerState, now_us: int) -> bool:
        """Return whether a report or the live weight gives the server's connection count."""
        return server.reported_connections is not None or self.prefers_weight(server, now_us)

    def is_latency_known(self, server: ServerState, now_us: int) -> bool:
        """Return whether a message latency was observed on the server within `LATENCY_VALID_US`."""
        return now_us - server.latency_reported_us < LATENCY_VALID_US

    def load_per_connection(self, server: ServerState, now_us: int) -> float:
        """Return r: the load of one mean connection on the server, as a fraction of its full capacity."""
        return self._fleet.load_per_connection_of(server, now_us - LOOKBACK_US)

    def connections(self, server: ServerState, now_us: int) -> float:
        """Return n: the last reported count, own changes since, and as many placements by each peer, over the fleet."""
        fleet = self._fleet
        count = server.reported_connections or 0.0
        if fleet.prefers_weight(server, now_us - OVERLOAD_VALID_US):
            by_weight = fleet.kind_connections_by_weight[server.endpoint.machine_kind]
            count = min(MAX_CONNECTIONS, by_weight / server.endpoint.weight)
        count += server.unreported_units
        balancers = self._settings.balancers
        if balancers > 1:
            servers = len(fleet.local) + len(fleet.remote) if self._checks_on_request else len(fleet.ready)
            placed = max(0.0, self._counts.placed_this_period + self._counts.placed_last_period)
            count += placed / max(1, servers) * (balancers - 1)
        return max(0.0, count)

    def expected_load(self, server: ServerState, added_units: float, now_us: int) -> float:
        """Return r * (n + 1): the load to expect on the server with `added_units` more load units."""
        units = self.connections(server, now_us) + added_units
        load = self.load_per_connection(server, now_us) * units / server.warm_up_fraction(now_us, self._settings)
        if now_us - server.latency_reported_us < LATENCY_VALID_US:
            load = max(load, server.latency_load)
        # A reported load over 1 cannot be served, whatever r is: a server without connections may still hang.
        if server.reported_load > 1.0 and now_us - server.reported_us < OVERLOAD_VALID_US:
            load = max(load, server.reported_load)
        return load

    def reported_load_now(self, server: ServerState, now_us: int) -> float:
        """Return the last reported load, scaled to the current connection count; 0 if no connections were reported."""
        if not server.reported_connections:
            return 0.0
        return server.reported_load * self.connections(server, now_us) / server.reported_connections

    def load_units(self, server: ServerState, connection: ConnectionState, now_us: int) -> float:
        """Return a connection's load on the server, which is higher if its group has no connection there yet."""
        group = connection.request.group
        if not self._settings.groups or group is None or server.group_connections[group] > 0:
            return connection.load_units
        if self._has_many_balancers or server.warm_up_fraction(now_us, self._settings) < 1.0:
            return connection.load_units + 1.0
        # Peers have connections of groups as well. That a group is new to the server is only as certain as this
        # balancer's connections are a fair share of those on the server.
        fair_share = max(1.0, (server.reported_connections or 0.0) / self._settings.balancers)
        certainty = min(1.0, 2 * server.own_connections / fair_share)
        return connection.load_units + 1.0 + (NEW_GROUP_UNITS - 1.0) * certainty

    def slow_start_load_per_connection(self, server: ServerState, now_us: int) -> float | None:
        """Return a cautious estimate of a connection's load on a server in slow start; None if it is not known.

        Machines of one kind differ, so the estimate assumes the lowest capacity that the mean load of the fleet and the
        reports of the server itself suggest.
        """
        fleet = self._fleet
        if not fleet.load_per_connection:
            return None
        load = fleet.kind_load_per_connection.get(server.endpoint.machine_kind, fleet.load_per_connection)
        load = max(load, (load + fleet.load_per_connection) / 2)
        count = server.reported_connections or 0.0
        own_load = self.load_per_connection(server, now_us)
        certainty = count / (count + CERTAIN_CONNECTIONS)
        return max(load, load * float((own_load / load) ** certainty))
