"""One balancer's observations of all servers together."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stoatgw.decisions.events import AttemptStatus, Endpoint, EndpointUpdate, EndpointUpdateKind, Lifecycle
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.server_health import ServerHealth
from stoatgw.decisions.state.server_state import ServerState

UNRESPONSIVE = (AttemptStatus.DIAL_FAILED, AttemptStatus.EXPIRED, AttemptStatus.DROPPED)
RESPONSIVE = (AttemptStatus.DELIVERED, AttemptStatus.SHED, AttemptStatus.APP_ERROR)
SUSPICION_US = 5_000_000  # a failure to respond counts against a server and its zone for this long
MAX_CHECK_FAILURES = 1  # a server with more consecutive failed health checks is suspected
MAX_WEIGHT = 1e9  # weights of this value or more are implausible and ignored
WEIGHT_SMOOTHING = 0.1  # weight of a report in the mean of its machine kind


@dataclass(slots=True)
class FleetState:
    """All listed servers, the pools that servers are selected from, and means over the servers."""

    servers: dict[str, ServerState] = field(default_factory=dict)  # all listed servers, by name
    ready: list[ServerState] = field(default_factory=list)  # active, in a random order
    local: list[ServerState] = field(default_factory=list)  # ready and warm, in the local zone
    remote: list[ServerState] = field(default_factory=list)  # ready and warm, in remote zones
    warming_up: list[ServerState] = field(default_factory=list)  # in slow start; this balancer shares their budget
    recently_reported: dict[str, ServerState] = field(default_factory=dict)  # warm; reports may have aged
    honors_ejection: bool = True  # False in panic mode
    suspected_since_us: dict[int, int] = field(default_factory=dict)  # time by zone; 0 if the zone is not suspected
    load_per_connection: float | None = None  # mean over all servers; None before the first report
    kind_load_per_connection: dict[int, float] = field(default_factory=dict)  # mean by machine kind
    kind_connections_by_weight: dict[int, float] = field(default_factory=dict)  # mean of connections * live weight

    def apply_update(self, update: EndpointUpdate) -> bool:
        """Apply an update of the endpoint list; return whether a server was added, removed or changed its lifecycle."""
        has_changed = update.kind is not EndpointUpdateKind.DELTA
        if has_changed:
            listed = {endpoint.name for endpoint in update.endpoints}
            self.servers = {name: server for name, server in self.servers.items() if name in listed}
        for endpoint in update.endpoints:
            server = self.servers.get(endpoint.name)
            if server is not None and server.endpoint.started_us == endpoint.started_us:
                # With live weights every endpoint is updated each second, so the work for each must stay minimal.
                has_changed = has_changed or server.endpoint.lifecycle is not endpoint.lifecycle
                server.endpoint = endpoint
            else:
                has_changed = True
                # An observed restart may be listed later: what was sent in between was sent to the same process.
                sends = [] if server is None else server.slow_start_sends
                self.servers[endpoint.name] = ServerState(endpoint, slow_start_sends=sends)
            if endpoint.lifecycle is Lifecycle.REMOVED:
                del self.servers[endpoint.name]
        return has_changed

    def update_mean_loads(self, since_us: int) -> None:
        """Update the mean loads per connection, weighted by connections so that nearly empty servers hardly count."""
        loads: dict[int, float] = {}
        counts: dict[int, float] = {}
        for server in self.servers.values():
            if server.load_samples and server.reported_connections:
                kind = server.endpoint.machine_kind
                count = server.reported_connections
                loads[kind] = loads.get(kind, 0.0) + self.load_per_connection_of(server, since_us) * count
                counts[kind] = counts.get(kind, 0.0) + count
        if counts:
            self.kind_load_per_connection = {kind: loads[kind] / counts[kind] for kind in counts}
            self.load_per_connection = sum(loads.values()) / sum(counts.values())

    def record_weight(self, endpoint: Endpoint, connections: float) -> None:
        """Update the running mean of connections * live weight by machine kind, which converts weights to counts."""
        product = connections * endpoint.weight
        mean = self.kind_connections_by_weight.get(endpoint.machine_kind)
        if mean:
            product = (1.0 - WEIGHT_SMOOTHING) * mean + WEIGHT_SMOOTHING * product
        self.kind_connections_by_weight[endpoint.machine_kind] = product

    def load_per_connection_of(self, server: ServerState, since_us: int) -> float:
        """Return the mean of a server's samples; without one after `since_us`, that of its kind or of all servers."""
        if server.load_samples and server.load_samples[-1][0] > since_us:
            return server.mean_load_per_connection
        return self.kind_load_per_connection.get(server.endpoint.machine_kind, self.load_per_connection or 0.0)

    def prefers_weight(self, server: ServerState, since_us: int) -> bool:
        """Return whether the live weight, which is updated each second, replaces a report from before `since_us`."""
        if server.reported_us >= since_us or not 0.0 < server.endpoint.weight < MAX_WEIGHT:
            return False
        return server.endpoint.machine_kind in self.kind_connections_by_weight

    def rebuild_pools(
        self,
        settings: Settings,
        rng: random.Random,
        shares_budget: Callable[[ServerState], bool],
        *,
        now_us: int,
        max_report_age_us: int,
    ) -> None:
        """Rebuild the pools that servers are selected from, each in a random order."""
        self.ready = [server for server in self.servers.values() if server.endpoint.lifecycle is Lifecycle.ACTIVE]
        rng.shuffle(self.ready)
        self.local = []
        self.remote = []
        self.warming_up = []
        self.recently_reported = {}
        for server in self.ready:
            if server.warm_up_fraction(now_us, settings) < 1.0:
                if shares_budget(server):
                    self.warming_up.append(server)
                continue
            pool = self.local if server.endpoint.zone == settings.zone else self.remote
            pool.append(server)
            if now_us - server.reported_us < max_report_age_us:
                self.recently_reported[server.endpoint.name] = server
        self.update_panic_mode(now_us)

    def reported_since(self, since_us: int) -> list[ServerState]:
        """Return the warm servers that have reported after `since_us`."""
        return [server for server in self.recently_reported.values() if server.reported_us > since_us]

    def health(self, server: ServerState, now_us: int) -> ServerHealth:
        """Return whether a server is ejected, or suspected because it or its zone may be unresponsive."""
        last_response_us = server.last_response_us
        is_unresponsive = server.last_failure_us > max(last_response_us, now_us - SUSPICION_US)
        if server.ejected_until_us > now_us and (self.honors_ejection or is_unresponsive):
            return ServerHealth.EJECTED
        is_zone_suspected = last_response_us < self.suspected_since_us.get(server.endpoint.zone, 0)
        if is_unresponsive or is_zone_suspected or server.health_check_failures > MAX_CHECK_FAILURES:
            return ServerHealth.SUSPECTED
        return ServerHealth.HEALTHY

    def update_panic_mode(self, now_us: int) -> None:
        """Ignore ejection if most servers are ejected: a shared cause is likely, and ejection would make it worse."""
        ejected = sum(server.ejected_until_us > now_us for server in self.ready)
        self.honors_ejection = 2 * ejected <= len(self.ready)

    def record_contact(self, server: ServerState, status: AttemptStatus, now_us: int) -> None:
        """Record whether a server responded; suspect its zone while at least two, and most, of its servers do not."""
        has_failed = status in UNRESPONSIVE
        if has_failed:
            server.last_failure_us = now_us
        elif status in RESPONSIVE:
            server.last_response_us = now_us
        zone = server.endpoint.zone
        if not has_failed and not self.suspected_since_us.get(zone):
            return
        since_us = now_us - SUSPICION_US
        peers = [each for each in self.ready if each.endpoint.zone == zone]
        failures_us = [
            each.last_failure_us for each in peers if each.last_failure_us > max(since_us, each.last_response_us)
        ]
        first_failure_us = min(failures_us, default=0)
        responding = sum(each.last_response_us > first_failure_us for each in peers)
        is_suspected = len(failures_us) > max(1, responding)
        self.suspected_since_us[zone] = first_failure_us if is_suspected else 0
