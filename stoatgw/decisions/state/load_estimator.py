"""Estimates of load and connection counts from reports, live weights, message latencies and own placements."""

from __future__ import annotations

from stoatgw.decisions.events import Lifecycle
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.balancer_state import PERIOD_US, BalancerState
from stoatgw.decisions.state.connection_state import ConnectionState
from stoatgw.decisions.state.fleet_state import MAX_WEIGHT, FleetState
from stoatgw.decisions.state.load_report import MAX_CONNECTIONS, LoadReport
from stoatgw.decisions.state.server_state import ServerState

LOOKBACK_PERIODS = 20  # samples in the mean load per connection (the paper's lambda)
LOOKBACK_US = LOOKBACK_PERIODS * PERIOD_US  # older samples no longer count
MAX_LOAD_SPREAD = 4.0  # a server's load per connection is believed up to so many times over or under the fleet's
REPORT_DELAY_US = 700_000  # a report shows its server as it was at most this long before
LATENCY_VALID_US = 1_500_000  # an observed message latency counts this long
OVERLOAD_VALID_US = 3_000_000  # a reported load over 1 counts this long
CERTAIN_CONNECTIONS = 4.0  # a report of so many weighs as much as the mean of the server's kind
NEW_GROUP_UNITS = 3.0  # what a group new to a warm server weighs, with its connection


class LoadEstimator:
    """Takes in load reports and estimates the load of servers."""

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
        """Take in a server's load report."""
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
        # Over 1 the load is work piled up: kept in the mean, it had a recovered fleet reject most clients.
        if connections < 1 or (load > 1.0 and server.load_samples):
            return
        sample = min(1.0, load) * warm_up_fraction / connections  # of the full capacity
        # Set-ups alone show almost no load, a hang a huge one: neither may distort the mean for long.
        mean = fleet.load_per_connection
        if mean:
            sample = min(MAX_LOAD_SPREAD * mean, max(mean / MAX_LOAD_SPREAD, sample))
        else:
            fleet.load_per_connection = sample
        server.add_load_sample(now_us, sample, max_samples=LOOKBACK_PERIODS, max_age_us=LOOKBACK_US)

    def begin_period(self, now_us: int) -> None:
        """Renew the means over the fleet and merge the changes that reports have shown."""
        self._fleet.update_mean_loads(now_us - LOOKBACK_US)
        for server in self._fleet.servers.values():
            if self.prefers_weight(server, now_us):
                server.drop_reported(now_us - REPORT_DELAY_US)
            else:
                server.merge_reported(now_us - REPORT_DELAY_US)

    def prefers_weight(self, server: ServerState, now_us: int) -> bool:
        """Whether the server's live weight tells its connections better than its last report."""
        return self._fleet.prefers_weight(server, now_us - OVERLOAD_VALID_US)

    def has_connection_count(self, server: ServerState, now_us: int) -> bool:
        """Whether a report or the live weight tells the server's connections."""
        return server.reported_connections is not None or self.prefers_weight(server, now_us)

    def is_latency_known(self, server: ServerState, now_us: int) -> bool:
        """Whether a message's latency was observed on the server lately."""
        return now_us - server.latency_reported_us < LATENCY_VALID_US

    def load_per_connection(self, server: ServerState, now_us: int) -> float:
        """Return r: the load, as a part of the full capacity, of one mean connection on the server."""
        return self._fleet.load_per_connection_of(server, now_us - LOOKBACK_US)

    def connections(self, server: ServerState, now_us: int) -> float:
        """Return n: the count last reported, own changes since, and as many of each peer over the fleet."""
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
        """Return r * (n + 1): the load to expect on the server with so many more load units on it."""
        units = self.connections(server, now_us) + added_units
        load = self.load_per_connection(server, now_us) * units / server.warm_up_fraction(now_us, self._settings)
        if now_us - server.latency_reported_us < LATENCY_VALID_US:
            load = max(load, server.latency_load)
        # A load over 1 cannot be served, whatever r says: an emptied server that still hangs.
        if server.reported_load > 1.0 and now_us - server.reported_us < OVERLOAD_VALID_US:
            load = max(load, server.reported_load)
        return load

    def reported_load_now(self, server: ServerState, now_us: int) -> float:
        """Return the load last reported, scaled to the connections of now; 0 without any reported."""
        if not server.reported_connections:
            return 0.0
        return server.reported_load * self.connections(server, now_us) / server.reported_connections

    def load_units(self, server: ServerState, connection: ConnectionState, now_us: int) -> float:
        """Return a connection's load on the server, which pays anew for a group that it does not hold."""
        group = connection.request.group
        if not self._settings.groups or group is None or server.group_connections[group] > 0:
            return connection.load_units
        if self._has_many_balancers or server.warm_up_fraction(now_us, self._settings) < 1.0:
            return connection.load_units + 1.0
        # Peers hold groups as well: new to us is new to it as far as ours are a fair part of what it holds.
        fair_share = max(1.0, (server.reported_connections or 0.0) / self._settings.balancers)
        certainty = min(1.0, 2 * server.own_connections / fair_share)
        return connection.load_units + 1.0 + (NEW_GROUP_UNITS - 1.0) * certainty

    def slow_start_load_per_connection(self, server: ServerState, now_us: int) -> float | None:
        """Return the load that one connection may at least be taken for on a server in slow start; None: not known.

        Machines of one kind differ: the least capacity that the fleet's mean and the server's own reports suggest.
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
